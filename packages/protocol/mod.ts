/**
 * Messages and services between VMs, generated from `proto/`, and the MessagePack
 * codec for the values in their `bytes` fields.
 *
 * @module
 */
export * from "./generated/control_pb.ts";
export * from "./generated/ledger_pb.ts";
export * from "./generated/credit_pb.ts";
export * from "./generated/fleet_pb.ts";
export { decodeValue, encodeValue, WireError } from "./codec.ts";
