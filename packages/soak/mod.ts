/**
 * A soak test with fault injection: runs the real program as processes on
 * loopback addresses, injects faults by a seeded schedule, and checks the
 * invariants as callers, targets and an operator observe them.
 *
 * @module
 */
export { InvariantMonitor } from "./invariant_monitor.ts";
export type { PositionHolder } from "./invariant_monitor.ts";
export { LinkFlow, LinkNetwork } from "./link_proxy.ts";
export type { Link, ProxiedVm } from "./link_proxy.ts";
export { runSoak } from "./soak_run.ts";
export type { SoakOptions, SoakResult } from "./soak_run.ts";
