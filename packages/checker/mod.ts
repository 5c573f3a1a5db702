/**
 * Checks recorded histories against what the system promises: one function for
 * each promise, which returns the events that break it. Private.
 *
 * @module
 */
export { checkHistory, promiseChecks } from "./check_history.ts";
export { eventsOf } from "./events.ts";
export type { EventOf } from "./events.ts";
export { explore, formatExploration, wander } from "./explore.ts";
export type {
  ExplorationBounds,
  ExplorationModel,
  ExplorationResult,
} from "./explore.ts";
export { ownershipSpans } from "./ownership_spans.ts";
export type { OwnershipSpan } from "./ownership_spans.ts";
export {
  firstViolations,
  formatViolations,
  PromiseName,
  resolveCheckOptions,
} from "./violation.ts";
export type { CheckOptions, PromiseCheck, Violation } from "./violation.ts";
