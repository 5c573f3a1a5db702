import { ExchangeEnd } from "@kingcupglade/dispatch";
import type { ExchangeResult, ResponseHead } from "./exchange.ts";

/** Whether the result is a response that serves the caller. */
export function isSuccess(result: ExchangeResult): boolean {
  return result.kind === "answered" && !result.head.didNotRun &&
    result.head.status < 500;
}

/** Whether the target may have run the request. */
export function mayHaveRun(result: ExchangeResult): boolean {
  return result.kind === "unknown" ||
    (result.kind === "answered" && !result.head.didNotRun);
}

/**
 * Whether callers would take the response for a statement that the request did
 * not run, which the target did not make.
 */
export function isUnstatedRefusal(head: ResponseHead): boolean {
  return head.seemsNotRun && !head.didNotRun;
}

/** Classifies the result of an exchange for the choice of targets. */
export function endOf(result: ExchangeResult): ExchangeEnd {
  if (result.kind !== "answered") return ExchangeEnd.broken;
  if (result.head.didNotRun) return ExchangeEnd.rejected;
  return result.head.status >= 500 ? ExchangeEnd.failed : ExchangeEnd.answered;
}
