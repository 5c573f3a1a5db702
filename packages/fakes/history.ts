/** One thing that happened during a run, with its monotonic time. */
export type HistoryEvent =
  /** A target took over its whole set of grants. */
  | {
    readonly kind: "granted";
    readonly target: string;
    readonly boot: string;
    readonly grants: readonly {
      readonly group: string;
      readonly start: number;
      readonly end: number;
      readonly epoch: number;
    }[];
  }
  /** A target's lease lapsed, or its process ended: it owns nothing. */
  | { readonly kind: "lapsed"; readonly target: string; readonly boot: string }
  /** A target began to carry out a request. */
  | {
    readonly kind: "started";
    readonly target: string;
    readonly boot: string;
    readonly request: string;
    readonly group: string;
    readonly position: number;
    readonly epoch: number;
    readonly inProgress: number;
    readonly limit: number;
  }
  /** A request took effect at a target. */
  | {
    readonly kind: "effect";
    readonly target: string;
    readonly request: string;
    readonly idempotent: boolean;
  }
  /** A target ended a request. */
  | {
    readonly kind: "ended";
    readonly target: string;
    readonly request: string;
  }
  /** A target refused a request without carrying it out. */
  | {
    readonly kind: "refused";
    readonly target: string;
    readonly request: string;
    readonly reason: string;
  }
  /** A caller sent a request. */
  | {
    readonly kind: "asked";
    readonly request: string;
    readonly tenant: string;
    readonly key: string;
    readonly vm: string;
    readonly idempotent: boolean;
  }
  /** A caller got its answer, or none. */
  | {
    readonly kind: "told";
    readonly request: string;
    readonly status: number;
    readonly outcome: string;
    readonly reason: string;
    /** The request that the answer's body names; empty when it names none. */
    readonly answerTo: string;
    readonly whole: boolean;
  };

/** A {@link HistoryEvent} and when it happened. */
export type TimedEvent = HistoryEvent & { readonly at: number };

/** Everything that the fakes of one run saw, in order. */
export class History {
  readonly #events: TimedEvent[] = [];

  /** Notes an event at the current monotonic time. */
  record(event: HistoryEvent): void {
    this.#events.push({ ...event, at: performance.now() });
  }

  /** The events so far, oldest first. */
  get events(): readonly TimedEvent[] {
    return this.#events;
  }
}
