/**
 * The daemon and its command line.
 *
 * @module
 */
export { runCommandLine } from "./command_line.ts";
export { parseSettings, readSettings, SettingsError } from "./settings/read.ts";
export { settingsSchema } from "./settings/schema.ts";
export type { ResolvedSettings } from "./settings/schema.ts";
export { Vm } from "./vm.ts";
export type { VmOptions } from "./vm.ts";
export { PeerDirectory } from "./control/peers.ts";
export { ReplicaHost } from "./control/replica_host.ts";
export { NotLeaderError, UnknownOutcomeError } from "./control/errors.ts";
export type { ReplicaTask } from "./control/replica_task.ts";
export type { ControlStatus } from "./control/status.ts";
export { CallerResponseSink } from "./gateway/response_sink.ts";
export { ExchangeClient } from "./gateway/exchange.ts";
export {
  createUnaryClient,
  PeerCallError,
  PeerPool,
} from "@kingcupglade/transport";
export type { UnaryClientOptions } from "@kingcupglade/transport";
export { UnaryServices } from "@kingcupglade/transport";
export type { ServiceRegistry } from "@kingcupglade/transport";
