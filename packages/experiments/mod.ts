/**
 * Deployments on loopback with fake targets and callers, for the demo, the
 * experiments and the tests. Private.
 *
 * @module
 */
export { Deployment } from "./deployment.ts";
export type {
  DataCentreDescription,
  DeploymentOptions,
} from "./deployment_options.ts";
export { describeExample } from "./example.ts";
export type { ExampleDeployment, ExampleTarget } from "./example.ts";
export { hsinchu, hsinchuTargets } from "./hsinchu.ts";
export { tavares, tavaresTargets } from "./tavares.ts";
export { runDemo } from "./demo.ts";
export { meetsTarget } from "./experiment.ts";
export type {
  Experiment,
  ExperimentContext,
  ExperimentResult,
  Figure,
} from "./experiment.ts";
export { arrivalTimes, latencyFigures, outcomeShare, runLoad } from "./load.ts";
export type { LoadOptions, LoadResult } from "./load.ts";
export { RandomSource } from "./random_source.ts";
export { experiments } from "./registry.ts";
export { figureColumns, figureRows, meetsTargets } from "./report.ts";
