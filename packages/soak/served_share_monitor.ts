import type { KeyedOutcome, KeyedRequest } from "./keyed_request.ts";

const minimumShare = 0.95;
/** Fewer requests say nothing about the share of those that are rejected. */
const minimumRequests = 10;
/** Requests that may meet a target that ends, in the period without faults. */
const toleratedRequests = 2;
const servedStatus = 200;
/** Statuses of requests that are rejected for their key or its limit. */
const rejectedStatuses: ReadonlySet<number> = new Set([401, 429]);
const describedRequests = 5;

type End = KeyedRequest & KeyedOutcome;

/** Times that a {@link ServedShareMonitor} judges. */
export interface JudgedTimes {
  /** From then on the load below a limit is not rejected for it. */
  readonly settledAt: number;
  /** Start of the period without faults, in which targets serve as well. */
  readonly faultFreeFrom: number;
  readonly to: number;
}

/** Checks that the load of a workspace below its limit is served. */
export class ServedShareMonitor {
  readonly #workspace: string;
  readonly #ends: End[] = [];
  /** Number of requests that the last check judged for rejections. */
  judgedCount = 0;

  constructor(workspace: string) {
    this.#workspace = workspace;
  }

  recordOutcome(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.#ends.push({ ...request, ...outcome });
  }

  /** Judges the requests that were sent in some times. */
  findViolations(times: JudgedTimes): readonly string[] {
    const { settledAt, faultFreeFrom, to } = times;
    const settled = this.#sentIn(settledAt, to);
    const rejected = settled.filter(({ status }) =>
      rejectedStatuses.has(status)
    );
    const isEnough = settled.length >= minimumRequests;
    this.judgedCount = isEnough ? settled.length : 0;
    const faultFree = this.#sentIn(Math.max(settledAt, faultFreeFrom), to);
    const unserved = faultFree.filter(({ status }) => status !== servedStatus);
    const tolerated = faultFree.length * (1 - minimumShare) + toleratedRequests;
    return [
      ...(isEnough && rejected.length > settled.length * (1 - minimumShare)
        ? [this.#describe("rejected", rejected, settled)]
        : []),
      ...(unserved.length > tolerated
        ? [this.#describe("not served", unserved, faultFree)]
        : []),
    ];
  }

  #sentIn(from: number, to: number): readonly End[] {
    return this.#ends.filter(({ sentAt }) => sentAt >= from && sentAt <= to);
  }

  #describe(what: string, ends: readonly End[], judged: readonly End[]) {
    const details = ends.slice(0, describedRequests).map((each) =>
      `${each.id} ${each.status} from ${each.gateway} after ${
        Math.round(each.endedAt - each.sentAt)
      } ms`
    );
    return `${ends.length} of ${judged.length} requests of ${this.#workspace} were ${what}: ${
      details.join("; ")
    }`;
  }
}
