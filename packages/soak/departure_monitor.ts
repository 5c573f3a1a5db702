import { MonotonicClock, StallDetector } from "@kingcupglade/tasks";

/** Time after a caller has left in which its request reaches no target any more. */
const graceMilliseconds = 500;
/** Requests that may reach a target later. */
const toleratedArrivals = 3;
/** Share of the longer runs at which targets may still be at work then. */
const toleratedShare = 1 / 4;
/** Fewer runs say nothing about the share. */
const minimumRuns = 8;
const describedRequests = 3;

interface Run {
  /** Time at which the run ends by itself. */
  readonly plannedEnd: number;
  readonly endedAt: number;
}

interface Departure {
  readonly gateway: string;
  readonly sentAt: number;
  leftAt: number;
  /** Whether its gateway was faulty at any time since it was sent. */
  isExcused: boolean;
  readonly runs: Run[];
}

/** Options of {@link DepartureMonitor}. */
export interface DepartureMonitorOptions {
  readonly now: () => number;
  /** For how long what is read now may have waited in this process. */
  readonly readDelay: () => number;
}

/**
 * Checks that nothing goes on for callers that have left: which requests reach a
 * target, and at which targets are still at work.
 */
export class DepartureMonitor {
  readonly #options: DepartureMonitorOptions;
  readonly #departures = new Map<string, Departure>();
  readonly #faulty = new Set<string>();
  readonly #lateArrivals: string[] = [];

  constructor(options: DepartureMonitorOptions = observeThisProcess()) {
    this.#options = options;
  }

  /** Records that a request is sent whose caller does not wait for the response. */
  recordRequest(id: string, gateway: string): void {
    this.#departures.set(id, {
      gateway,
      sentAt: this.#options.now(),
      leftAt: Infinity,
      isExcused: this.#faulty.has(gateway),
      runs: [],
    });
  }

  /** Records that its caller has ended the connection. */
  recordDeparture(id: string): void {
    this.#departures.get(id)!.leftAt = this.#options.now();
  }

  /** Records that a gateway becomes faulty or is repaired. */
  recordFault(gateway: string, isFaulty: boolean): void {
    if (isFaulty) this.#faulty.add(gateway);
    else this.#faulty.delete(gateway);
    const since = this.#options.now() - graceMilliseconds;
    for (const each of this.#departures.values()) {
      if (each.gateway === gateway && each.leftAt > since) {
        each.isExcused = true;
      }
    }
  }

  /** Records that a request reaches a target, also from a faulty gateway. */
  recordArrival(id: string): void {
    const departure = this.#departures.get(id);
    const { now, readDelay } = this.#options;
    if (!departure || readDelay() > 0) return;
    const age = now() - departure.leftAt;
    if (age <= graceMilliseconds) return;
    this.#lateArrivals.push(
      `${id} through ${departure.gateway} ${Math.round(age)} ms late`,
    );
  }

  /** Records that a target has stopped a run or brought it to its end. */
  recordRun(id: string, plannedEnd: number): void {
    const { now, readDelay } = this.#options;
    const departure = this.#departures.get(id);
    if (!departure || readDelay() > 0) return;
    departure.runs.push({ plannedEnd, endedAt: now() });
  }

  /** Runs that would have lasted beyond the grace after their callers left. */
  get judgedCount(): number {
    return this.#judgedRuns.length;
  }

  /** Returns what is wrong; called when all runs have ended. */
  findViolations(): readonly string[] {
    const violations: string[] = [];
    if (this.#lateArrivals.length > toleratedArrivals) {
      const details = this.#lateArrivals.slice(0, describedRequests).join("; ");
      violations.push(
        `${this.#lateArrivals.length} requests reached a target after their callers had left: ${details}`,
      );
    }
    const judged = this.#judgedRuns;
    const late = judged.filter(({ isLate }) => isLate);
    if (
      judged.length >= minimumRuns &&
      late.length > judged.length * toleratedShare
    ) {
      const ids = late.slice(0, describedRequests).map(({ id }) => id);
      violations.push(
        `targets were at work on ${late.length} of ${judged.length} requests after their callers had left: ${
          ids.join(", ")
        }`,
      );
    }
    return violations;
  }

  get #judgedRuns(): readonly {
    readonly id: string;
    readonly isLate: boolean;
  }[] {
    return [...this.#departures].flatMap(
      ([id, { isExcused, leftAt, runs }]) => {
        if (isExcused) return [];
        const until = leftAt + graceMilliseconds;
        return runs.filter(({ plannedEnd }) => plannedEnd > until)
          .map(({ endedAt }) => ({ id, isLate: endedAt > until }));
      },
    );
  }
}

const observationIntervalMilliseconds = 50;

function observeThisProcess(): DepartureMonitorOptions {
  const clock = new MonotonicClock();
  const stalls = new StallDetector({ clock });
  setInterval(() => stalls.observe(), observationIntervalMilliseconds).unref();
  return { now: () => clock.now(), readDelay: () => stalls.readDelay() };
}
