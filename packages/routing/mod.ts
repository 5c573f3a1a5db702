/**
 * Decisions on the way of a request: its route, its limits, its outcome.
 *
 * @module
 */
export { CapacityGate, LocalCapacityGate } from "./capacity.ts";
export type { CapacityRequest, ExchangeReport, Permit } from "./capacity.ts";
export { matchRequest } from "./match.ts";
export type { MatchedRequest, RequestHead } from "./match.ts";
export { Header, notRun, Outcome, Reason, unknownOutcome } from "./outcome.ts";
export type { Refusal } from "./outcome.ts";
export { RetryBudget } from "./retry_budget.ts";
export type { RetryBudgetOptions } from "./retry_budget.ts";
