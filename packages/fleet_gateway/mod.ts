/**
 * The gateway role of a fleet: forwards callers' requests to targets according
 * to the routing table that the control plane maintains.
 *
 * @module
 */
export { CallerWire } from "./callers/caller_wire.ts";
export type {
  CallerRequestHead,
  TargetResponseHead,
} from "./callers/caller_wire.ts";
export { GatewayTable } from "./table/gateway_table.ts";
export { GatewayVm } from "./gateway_vm.ts";
export type { GatewayVmOptions } from "./gateway_vm_options.ts";
