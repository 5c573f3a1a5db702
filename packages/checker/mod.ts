/**
 * Checks recorded histories against the system's invariants and explores models
 * of the system exhaustively or by random walks. For each invariant a function
 * returns the violations. Private.
 *
 * @module
 */
export { checkHistory, invariantChecks } from "./check_history.ts";
export { eventsOf } from "./events.ts";
export type { EventOf } from "./events.ts";
export { explore, formatExploration, randomWalk } from "./explore.ts";
export type {
  ExplorationBounds,
  ExplorationModel,
  ExplorationResult,
} from "./explore.ts";
export { deriveOwnershipSpans } from "./ownership_spans.ts";
export type { OwnershipSpan } from "./ownership_spans.ts";
export {
  formatViolations,
  InvariantName,
  resolveCheckOptions,
  selectFirstViolations,
} from "./violation.ts";
export type { CheckOptions, InvariantCheck, Violation } from "./violation.ts";
