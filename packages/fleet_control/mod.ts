/**
 * Control role of a fleet: keeps configuration and ownership in a replicated
 * log, receives heartbeats of targets and updates gateways.
 *
 * @module
 */
export { ControlVm } from "./control_vm.ts";
export type { ControlVmOptions } from "./control_vm_options.ts";
export { ControlWire } from "./control_wire.ts";
export type {
  ExternalCall,
  ExternalRequest,
  ExternalResponse,
  ExternalResult,
  SubmittedWorkspace,
  WorkspaceFieldNames,
} from "./control_wire.ts";
export { peerAddressOf } from "./peer_discovery.ts";
export { packValue, unpackValue } from "./packed_value.ts";
export { PeerClients } from "./peer_clients.ts";
export type { SuspectCall, SuspectReply } from "./suspect_call.ts";
export {
  decodeWatch,
  decodeWatchAnswer,
  decodeWatchOwnPart,
  encodeWatch,
  encodeWatchAnswer,
  encodeWatchOwnPart,
  isCompactAnswer,
} from "./watch_codec.ts";
export {
  updateIntervalMilliseconds,
  watchHoldMilliseconds,
} from "./update_throttle.ts";
export { Feature, ownFeatures } from "./feature.ts";
export type { Watch, WatchAnswer, WatchOwnPart } from "./watch.ts";
