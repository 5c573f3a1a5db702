/**
 * Messages and services between the VMs, generated from `proto/`, and the codec
 * of the values that they carry encoded.
 *
 * @module
 */
export * from "./generated/control_pb.ts";
export * from "./generated/ledger_pb.ts";
export * from "./generated/credit_pb.ts";
export * from "./generated/fleet_pb.ts";
export { decodeValue, encodeValue, WireError } from "./codec.ts";
