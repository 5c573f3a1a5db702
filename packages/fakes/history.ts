/** A data centre of a bundle. */
export interface RecordedDataCentre {
  readonly name: string;
  readonly region: string;
  readonly inService: boolean;
}

/** Regions that may serve and store a tenant's requests for a service. */
export interface RecordedHomeRegions {
  readonly service: string;
  readonly tenant: string;
  readonly regions: readonly string[];
}

/** An event of a run. */
export type HistoryEvent =
  /** A target may act on its grants until a monotonic time. */
  | {
    readonly kind: "leased";
    readonly target: string;
    readonly boot: string;
    readonly until: number;
  }
  /** A target started, or its condition changed. */
  | {
    readonly kind: "condition";
    readonly target: string;
    readonly boot: string;
    readonly condition: string;
  }
  /** A target's announcement of its condition was accepted. */
  | {
    readonly kind: "announced";
    readonly target: string;
    readonly boot: string;
    readonly condition: string;
  }
  /** An operator sent a bundle. */
  | {
    readonly kind: "rollStarted";
    readonly version: number;
    readonly digest: string;
    readonly dataCentres: readonly RecordedDataCentre[];
    readonly homes: readonly RecordedHomeRegions[];
  }
  /**
   * An operator received a response; the version and digest are those in force.
   */
  | {
    readonly kind: "rollEnded";
    readonly outcome: "accepted" | "conflict" | "refused" | "unanswered";
    /** When the operator sent the bundle. */
    readonly sentAt: number;
    readonly version: number;
    readonly digest: string;
  }
  /** The bundle that a VM routed by, observed inside its process. */
  | {
    readonly kind: "tableObserved";
    readonly vm: string;
    readonly hasLease: boolean;
    readonly version: number;
    readonly digest: string;
  }
  /** A request reached a process of the system, which may store parts of it. */
  | {
    readonly kind: "hop";
    readonly request: string;
    /** Empty if only the target that runs the request records the service. */
    readonly service: string;
    readonly vm: string;
    readonly region: string;
    /** Whether the process may store parts of the request. */
    readonly keeps: boolean;
  }
  /** A VM wrote a log line that names a tenant. */
  | {
    readonly kind: "logged";
    readonly vm: string;
    readonly region: string;
    readonly tenant: string;
    readonly line: string;
  }
  /** A planned stop began. */
  | {
    readonly kind: "stopping";
    readonly subject: "vm" | "target";
    readonly name: string;
    /** Address at which a VM serves callers; empty for targets. */
    readonly address: string;
  }
  /** A planned stop ended. */
  | {
    readonly kind: "stopped";
    readonly subject: "vm" | "target";
    readonly name: string;
  }
  /** A fault was injected or ended. */
  | {
    readonly kind: "fault";
    readonly subject: "vm" | "target";
    readonly name: string;
    readonly fault: "crash" | "freeze" | "thaw" | "restart";
  }
  /** The whole run was suspended, such as on a busy machine. */
  | { readonly kind: "stalled"; readonly milliseconds: number }
  /** A target replaced its complete set of grants. */
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
  /** A target lost all grants, as its lease lapsed or its process ended. */
  | { readonly kind: "lapsed"; readonly target: string; readonly boot: string }
  /** A target started to execute a request. */
  | {
    readonly kind: "started";
    readonly target: string;
    readonly boot: string;
    readonly request: string;
    readonly group: string;
    readonly position: number;
    readonly epoch: number;
    /** Requests in progress at the target, including this one. */
    readonly inProgress: number;
    /** Requests that the target may have in progress in its condition. */
    readonly limit: number;
    readonly service: string;
    readonly dataCentre: string;
    readonly condition: string;
    /** Whether the target refuses requests under epochs it does not hold. */
    readonly checksFences: boolean;
  }
  /** A request took effect at a target. */
  | {
    readonly kind: "effect";
    readonly target: string;
    readonly request: string;
    readonly idempotent: boolean;
  }
  /** A target finished or cancelled a request. */
  | {
    readonly kind: "ended";
    readonly target: string;
    readonly request: string;
  }
  /** A target refused a request, which had no effect. */
  | {
    readonly kind: "refused";
    readonly target: string;
    readonly request: string;
    readonly reason: string;
  }
  /** A caller sent a request. */
  | {
    readonly kind: "requestSent";
    readonly request: string;
    readonly tenant: string;
    readonly key: string;
    /** Address at which the VM serves callers. */
    readonly vm: string;
    readonly idempotent: boolean;
    /** Shared by the retries of a request; empty if it has none. */
    readonly idempotencyKey: string;
  }
  /** A caller received a response, or its request failed without one. */
  | {
    readonly kind: "responseReceived";
    readonly request: string;
    readonly status: number;
    readonly outcome: string;
    readonly reason: string;
    /** The request named in the response body; empty if none is named. */
    readonly answerTo: string;
    /** Whether the response was received to its end. */
    readonly whole: boolean;
  };

/** A {@link HistoryEvent} with its monotonic time in milliseconds. */
export type TimedEvent = HistoryEvent & { readonly at: number };

/** Events recorded by the fakes of a run, in order. */
export class History {
  readonly #events: TimedEvent[] = [];

  /** Records an event at the current monotonic time. */
  record(event: HistoryEvent): void {
    this.#events.push({ ...event, at: performance.now() });
  }

  /** Records an event at a given time, such as in virtual time. */
  recordAt(at: number, event: HistoryEvent): void {
    this.#events.push({ ...event, at });
  }

  /** Recorded events, in the order of recording. */
  get events(): readonly TimedEvent[] {
    return this.#events;
  }
}
