/**
 * Request routing decisions: the route, the capacity limits and the outcome.
 *
 * @module
 */
export { CapacityGate, LocalCapacityGate } from "./capacity.ts";
export type {
  CapacityRequest,
  ExchangeReport,
  Permit,
  TargetChanged,
} from "./capacity.ts";
export { matchRequest } from "./match.ts";
export type { MatchedRequest, RequestHead } from "./match.ts";
export {
  Header,
  ledgerNotQueried,
  notRun,
  Outcome,
  Reason,
  unknownOutcome,
} from "./outcome.ts";
export type { Refusal } from "./outcome.ts";
export { CreditGate } from "./credit_gate.ts";
export type { CreditGateOptions } from "./credit_gate.ts";
export { CreditAccount } from "./credit_account.ts";
export type { CreditAccountReport } from "./credit_account.ts";
export { outstanding } from "./credit_pool.ts";
export type { CreditTarget } from "./credit_pool.ts";
export { CreditAllocator } from "./credit_allocator.ts";
export type {
  CreditRecall,
  CreditReport,
  CreditTimes,
} from "./credit_allocator.ts";
export { FairQueue } from "./fair_queue.ts";
export { chooseTarget, separateOutliers } from "./target_choice.ts";
export type { Candidate, ChoiceContext } from "./target_choice.ts";
export { TargetObservations } from "./target_observations.ts";
export type { TargetObservation } from "./target_observations.ts";
export { RetryBudget } from "./retry_budget.ts";
export type { RetryBudgetOptions } from "./retry_budget.ts";
export { HedgePolicy } from "./hedge_policy.ts";
