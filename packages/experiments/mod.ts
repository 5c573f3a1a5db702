/**
 * Deployments on loopback with fake targets and callers, for the demo, the
 * experiments and the tests. Private.
 *
 * @module
 */
export { Deployment } from "./deployment.ts";
export type { DataCentreDescription, DeploymentOptions } from "./deployment.ts";
export { hsinchu } from "./hsinchu.ts";
export { runDemo } from "./demo.ts";
