import type { KeyedOutcome, KeyedRequest } from "./keyed_request.ts";

const minimumShare = 0.95;
/** Fewer requests say nothing about the share. */
const minimumRequests = 20;
const servedStatus = 200;
const describedRequests = 5;

/** Checks that the load of a workspace below its limit is served. */
export class ServedShareMonitor {
  readonly #workspace: string;
  readonly #ends: (KeyedRequest & KeyedOutcome)[] = [];
  /** Number of requests that the last check judged. */
  judgedCount = 0;

  constructor(workspace: string) {
    this.#workspace = workspace;
  }

  recordOutcome(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.#ends.push({ ...request, ...outcome });
  }

  /** Judges the requests that were sent in a time without faults. */
  findViolations(from: number, to: number): readonly string[] {
    const judged = this.#ends.filter(({ sentAt }) =>
      sentAt >= from && sentAt <= to
    );
    const isEnough = judged.length >= minimumRequests;
    this.judgedCount = isEnough ? judged.length : 0;
    const unserved = judged.filter(({ status }) => status !== servedStatus);
    const served = judged.length - unserved.length;
    if (!isEnough || served >= judged.length * minimumShare) return [];
    const details = unserved.slice(0, describedRequests).map((each) =>
      `${each.id} ${each.status} from ${each.gateway} after ${
        Math.round(each.endedAt - each.sentAt)
      } ms`
    );
    return [
      `only ${served} of ${judged.length} requests of ${this.#workspace} were served: ${
        details.join("; ")
      }`,
    ];
  }
}
