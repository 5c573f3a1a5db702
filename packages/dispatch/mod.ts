/**
 * Load management decisions of a gateway, without network I/O: which target to
 * use, which requests wait, which are refused, and which may be retried.
 *
 * @module
 */
export { chooseTarget, Distance, hasCapacityFor } from "./choose_target.ts";
export type {
  CapacityOptions,
  Choice,
  ChoiceOptions,
  TargetOption,
} from "./choose_target.ts";
export { ChangedDurations } from "./changed_durations.ts";
export { LoadShedder } from "./load_shedder.ts";
export type {
  ArrivingRequest,
  LoadShedderOptions,
  ProcessorSample,
} from "./load_shedder.ts";
export { OwnerBackoff } from "./owner_backoff.ts";
export { PartSelector } from "./part_selector.ts";
export type { WeightedPart } from "./part_selector.ts";
export { PoolSelector } from "./pool_selector.ts";
export type { Pool } from "./pool_selector.ts";
export { RetryBudget } from "./retry_budget.ts";
export type { RetryBudgetOptions } from "./retry_budget.ts";
export {
  intervalMilliseconds,
  SharedRateLimiter,
} from "./shared_rate_limiter.ts";
export type { SharedRate } from "./shared_rate_limiter.ts";
export { Slowdown } from "./slowdown.ts";
export { PaceDecision, PaceReason, TargetPace } from "./target_pace.ts";
export type {
  PaceChange,
  PaceEnd,
  PaceSituation,
  TargetPaceOptions,
} from "./target_pace.ts";
export { ExchangeEnd } from "./exchange_end.ts";
export { TargetRecord } from "./target_record.ts";
export type { LoadFreshness, LoadReport } from "./target_record.ts";
export { AdmissionQueue, minimumRemainingShare } from "./admission_queue.ts";
export { CallerDeadlines } from "./caller_deadlines.ts";
export type { CallerAge } from "./caller_deadlines.ts";
export type { WaitingRequest } from "./admission_queue.ts";
