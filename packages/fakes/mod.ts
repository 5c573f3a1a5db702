/**
 * Simulated targets and callers, and the history that they record. Private:
 * used by tests, the demo and the experiments.
 *
 * @module
 */
export { FakeCaller } from "./fake_caller.ts";
export type { CallerRequest, CallerResponse } from "./fake_caller.ts";
export { FakeTarget } from "./fake_target.ts";
export type {
  FakeCondition,
  FakeTargetOptions,
} from "./fake_target_options.ts";
export { History } from "./history.ts";
export type { HistoryEvent, TimedEvent } from "./history.ts";
export { readReferenceTable } from "./reference_table.ts";
export { measureMemory } from "./memory_use.ts";
export { loopbackPrefix } from "./loopback_prefix.ts";
export { SilenceableProxy } from "./silenceable_proxy.ts";
export { SilenceableReplica } from "./silenceable_replica.ts";
