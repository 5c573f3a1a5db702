import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { AdmissionQueue, WaitingRequest } from "./admission_queue.ts";
import { CallerDeadlines } from "./caller_deadlines.ts";

/** What the simulation needs of a queue. */
export type SimulatedQueue = Pick<
  AdmissionQueue,
  "add" | "advance" | "length" | "countAhead"
>;

/** The simplest queue: in order of arrival, whatever can still be answered. */
export class ArrivalOrderQueue implements SimulatedQueue {
  #waiting: WaitingRequest[] = [];

  get length(): number {
    return this.#waiting.length;
  }

  countAhead(): number {
    return this.#waiting.length;
  }

  add(request: WaitingRequest): void {
    this.#waiting.push(request);
  }

  advance(now: number): void {
    for (const request of this.#waiting) {
      if (now > request.deadlineAt) request.refuse("late", 0);
    }
    this.#waiting = this.#waiting.filter(({ deadlineAt }) => now <= deadlineAt);
    while (this.#waiting[0]?.tryStart()) this.#waiting.shift();
  }
}

/** What callers ask for, and what they do when they are refused. */
export interface SimulatedLoad {
  /** Arrivals relative to the capacity, from 4 s to 12 s; 0.75 else. */
  readonly overload: number;
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Times that a refused caller comes back. */
  readonly retries: number;
}

/** What became of the requests that callers first sent in the overload. */
export interface SimulationResult {
  /** Share that was answered within the objective. */
  readonly inTime: number;
  /** Share that was answered later, within the deadline. */
  readonly late: number;
  /** Mean time for which refused attempts were held, in milliseconds. */
  readonly heldMilliseconds: number;
  /** Share answered within the objective of those sent 1 to 4 s after it. */
  readonly inTimeAfter: number;
}

interface Attempt {
  readonly firstAt: number;
  readonly retriesLeft: number;
}

const slots = 32;
const meanMilliseconds = 250;
const overloadFrom = 4000;
const overloadTo = 12_000;
const endAt = 20_000;
const calmLoad = 0.75;
const shortestRetry = 100;
const route = "lookup";

/** Plays a service of 32 slots with a queue before it, in steps of 1 ms. */
export class AdmissionSimulation {
  readonly #queue: SimulatedQueue;
  readonly #load: SimulatedLoad;
  readonly #deadlines: CallerDeadlines | undefined;
  readonly #random: () => number;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #answers: { readonly firstAt: number; readonly at: number }[] = [];
  #now = 0;
  #free = slots;
  #arrived = { during: 0, after: 0 };
  #held = { milliseconds: 0, count: 0 };

  /** @param options.knowsAge Whether a caller that returns keeps its age. */
  constructor(
    options: {
      readonly queue: SimulatedQueue;
      readonly load: SimulatedLoad;
      readonly knowsAge: boolean;
      readonly seed: number;
    },
  ) {
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => (generator.next() >>> 0) / 2 ** 32;
    this.#queue = options.queue;
    this.#load = options.load;
    this.#deadlines = options.knowsAge ? new CallerDeadlines() : undefined;
  }

  run(): SimulationResult {
    for (; this.#now < endAt; this.#now += 1) {
      for (const event of this.#events.get(this.#now) ?? []) event();
      const { overload, retries } = this.#load;
      const rate = this.#isOverload(this.#now) ? overload : calmLoad;
      if (this.#random() < rate * slots / meanMilliseconds) {
        this.#countArrival();
        this.#arrive({ firstAt: this.#now, retriesLeft: retries });
      }
      if (this.#now % 20 === 0) this.#advance();
    }
    return this.#result();
  }

  #isOverload(at: number): boolean {
    return at >= overloadFrom && at < overloadTo;
  }

  #isAfter(at: number): boolean {
    return at >= overloadTo + 1000 && at < overloadTo + 4000;
  }

  #countArrival(): void {
    if (this.#isOverload(this.#now)) this.#arrived.during += 1;
    if (this.#isAfter(this.#now)) this.#arrived.after += 1;
  }

  #arrive(attempt: Attempt): void {
    const { objectiveMilliseconds, deadlineMilliseconds } = this.#load;
    const sentAt = this.#now;
    const deadlineAt = attempt.firstAt + deadlineMilliseconds;
    const { milliseconds: age, isKnown: isAgeKnown } =
      this.#deadlines?.record(route, deadlineAt - sentAt) ??
        { milliseconds: 0, isKnown: false };
    const request: WaitingRequest = {
      priority: 1,
      lane: route,
      arrivedAt: sentAt - age,
      isAgeKnown,
      objectiveAt: sentAt - age + objectiveMilliseconds,
      deadlineAt,
      tryStart: () => this.#start(attempt, deadlineAt),
      refuse: (_reason, wait) => this.#refuse(attempt, { sentAt, wait }),
    };
    if (this.#queue.length === 0 && request.tryStart()) return;
    const busy = Math.max(1, slots - this.#free);
    const wait = this.#queue.countAhead(1, route) * meanMilliseconds / busy;
    if (this.#now + wait + meanMilliseconds > deadlineAt) {
      return this.#refuse(attempt, { sentAt, wait });
    }
    this.#queue.add(request);
    this.#advance();
  }

  #advance(): void {
    this.#queue.advance(this.#now, meanMilliseconds);
  }

  // Targets of two speeds, a fifth of the work three times as long.
  #start({ firstAt }: Attempt, deadlineAt: number): boolean {
    if (this.#free === 0) return false;
    this.#free -= 1;
    const speed = this.#random() < 2 / 3 ? 0.7 : 1.6;
    const noise = this.#random() < 0.2 ? 3 : 1;
    const varied = 0.4 + 1.2 * this.#random();
    const milliseconds = Math.round(
      meanMilliseconds * speed * noise * varied / 1.4,
    );
    this.#at(Math.min(this.#now + milliseconds, deadlineAt), () => {
      this.#free += 1;
      const isInTime = this.#now < deadlineAt;
      if (isInTime) this.#answers.push({ firstAt, at: this.#now });
      this.#advance();
    });
    return true;
  }

  #refuse(
    { firstAt, retriesLeft }: Attempt,
    { sentAt, wait }: { readonly sentAt: number; readonly wait: number },
  ): void {
    this.#held.milliseconds += this.#now - sentAt;
    this.#held.count += 1;
    const left = firstAt + this.#load.deadlineMilliseconds - this.#now;
    const pause = Math.min(
      left / 3,
      Math.max(shortestRetry, wait) * (0.75 + this.#random() / 2),
    );
    if (retriesLeft === 0 || left <= shortestRetry) return;
    this.#at(
      this.#now + Math.ceil(pause),
      () => this.#arrive({ firstAt, retriesLeft: retriesLeft - 1 }),
    );
  }

  #at(time: number, event: () => void): void {
    const at = Math.max(this.#now + 1, Math.round(time));
    const events = this.#events.get(at) ?? [];
    this.#events.set(at, [...events, event]);
  }

  #result(): SimulationResult {
    const { objectiveMilliseconds } = this.#load;
    const isInTime = (
      { firstAt, at }: { readonly firstAt: number; readonly at: number },
    ) => at - firstAt <= objectiveMilliseconds;
    const during = this.#answers.filter(({ firstAt }) =>
      this.#isOverload(firstAt)
    );
    const after = this.#answers.filter(({ firstAt }) => this.#isAfter(firstAt));
    const inTime = during.filter(isInTime).length;
    return {
      inTime: inTime / this.#arrived.during,
      late: (during.length - inTime) / this.#arrived.during,
      heldMilliseconds: this.#held.milliseconds / Math.max(1, this.#held.count),
      inTimeAfter: after.filter(isInTime).length / this.#arrived.after,
    };
  }
}
