import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

import type { ArrivingRequest, ProcessorSample } from "./load_shedder.ts";

/** Decides whether a simulated gateway admits a request. */
export interface SheddingPolicy {
  /** Called every {@link tickMilliseconds}. */
  record(sample: ProcessorSample): void;
  admits(request: Omit<ArrivingRequest, "priority">): boolean;
}

/** A fleet whose gateways differ, and its callers. */
export interface SheddingScenario {
  /** Shares of a processor, by gateway. */
  readonly shares: readonly number[];
  /** Requests per second that callers first send to each gateway. */
  readonly perSecond: number;
  /** The load is this many times higher for `burst`. @default 1 */
  readonly burstFactor?: number;
  readonly burst?: readonly [from: number, until: number];
  /** Every second, each gateway does other work for this long. @default 0 */
  readonly stallMilliseconds?: number;
  readonly until: number;
  readonly seed: number;
}

/** Shares of the requests that were answered within the objective. */
export interface SheddingResult {
  readonly inTime: number;
  /** Of the requests sent from 2 s after the burst on. */
  readonly afterBurst: number;
  /** Share of the attempts that were refused. */
  readonly refused: number;
}

export const tickMilliseconds = 50;
const stallInterval = 1000;
const objectiveMilliseconds = 600;
const retryAfterMilliseconds = 100;
const maximumAttempts = 3;
const refusedMilliseconds = 0.8;
const targetMilliseconds = 180;
/**
 * Processor time of the steps of a request that is served, and the time until the
 * next one: it is read, its slot is granted, its connection is ready, and its
 * response arrives.
 */
const steps = [
  { workMilliseconds: 1.4, untilNextMilliseconds: 2 },
  { workMilliseconds: 0.6, untilNextMilliseconds: 2 },
  { workMilliseconds: 0.6, untilNextMilliseconds: targetMilliseconds },
  { workMilliseconds: 1.4, untilNextMilliseconds: 0 },
] as const;
/** Slots of targets by request per second, of which 0.3 are needed for the work. */
const slotsPerRequest = targetMilliseconds / 1000 / 0.3;
/** The step that needs a slot, which is held until the last one has ended. */
const slotStep = 1;

/** A step of a request that is due at some time. */
interface Step {
  readonly at: number;
  readonly firstAt: number;
  readonly gateway: number;
  readonly attempt: number;
  readonly step: number;
}

/** A processor that handles requests in the order of their arrival. */
class SimulatedGateway {
  freeAt = 0;
  #tickedAt = 0;
  #backlog = 0;
  constructor(readonly share: number, readonly policy: SheddingPolicy) {}

  /** Reports the time in which the processor was busy since the last tick. */
  tick(now: number): void {
    const elapsed = now - this.#tickedAt;
    const workLeft = Math.max(0, this.freeAt - now);
    const busy = Math.min(elapsed, this.#backlog - workLeft);
    this.policy.record({
      busyMilliseconds: busy,
      idleMilliseconds: elapsed - busy,
      lateMilliseconds: workLeft,
    });
    this.#backlog = workLeft;
    this.#tickedAt = now;
  }

  /** Returns when work is done that takes some processor time. */
  work(now: number, milliseconds: number): number {
    return this.stall(now, milliseconds / this.share);
  }

  /** Occupies the processor for some time, and returns the end of it. */
  stall(now: number, length: number): number {
    this.freeAt = Math.max(now, this.freeAt) + length;
    this.#backlog += length;
    return this.freeAt;
  }
}

/** Plays a load against gateways that all use the same policy. */
export function playShedding(
  scenario: SheddingScenario,
  createPolicy: (random: () => number) => SheddingPolicy,
): SheddingResult {
  return new SheddingPlay(scenario, createPolicy).run();
}

class SheddingPlay {
  readonly #scenario: SheddingScenario;
  readonly #random: () => number;
  readonly #gateways: readonly SimulatedGateway[];
  /** Steps that are due, beside the first ones. */
  readonly #due: Step[] = [];
  readonly #waiting: Step[] = [];
  readonly #counts = { all: 0, inTime: 0, after: 0, afterInTime: 0 };
  readonly #attempts = { all: 0, refused: 0 };
  #freeSlots: number;

  constructor(
    scenario: SheddingScenario,
    createPolicy: (random: () => number) => SheddingPolicy,
  ) {
    const { seed, shares, perSecond } = scenario;
    const generator = xoroshiro128plus(seed);
    this.#scenario = scenario;
    this.#random = () => uniformFloat64(generator);
    this.#gateways = shares.map((share) =>
      new SimulatedGateway(share, createPolicy(this.#random))
    );
    this.#freeSlots = Math.ceil(
      perSecond * shares.length * slotsPerRequest,
    );
  }

  run(): SheddingResult {
    const { stallMilliseconds = 0 } = this.#scenario;
    const first = this.#firstSteps();
    let tickAt = 0;
    for (;;) {
      const step = this.#takeNext(first);
      if (!step) break;
      for (; tickAt <= step.at; tickAt += tickMilliseconds) {
        for (const each of this.#gateways) {
          each.tick(tickAt);
          if (tickAt % stallInterval > 0) continue;
          each.stall(tickAt, stallMilliseconds);
        }
      }
      this.#perform(step);
    }
    const { all, inTime, after, afterInTime } = this.#counts;
    return {
      inTime: inTime / all,
      afterBurst: after === 0 ? 1 : afterInTime / after,
      refused: this.#attempts.refused / this.#attempts.all,
    };
  }

  /** Arrivals at random times; the last one comes first. */
  #firstSteps(): Step[] {
    const { shares, perSecond, burstFactor = 1, burst, until } = this.#scenario;
    const times: Step[] = [];
    for (const gateway of shares.keys()) {
      let at = 0;
      while (at < until) {
        const isBurst = burst && at >= burst[0] && at < burst[1];
        const rate = perSecond * (isBurst ? burstFactor : 1) / 1000;
        at += -Math.log(1 - this.#random()) / rate;
        times.push({ at, firstAt: at, gateway, attempt: 1, step: 0 });
      }
    }
    return times.sort((left, right) => right.at - left.at);
  }

  #takeNext(first: Step[]): Step | undefined {
    let next = 0;
    for (const [index, { at }] of this.#due.entries()) {
      if (at < this.#due[next]!.at) next = index;
    }
    const isFirst = (first.at(-1)?.at ?? Infinity) <
      (this.#due[next]?.at ?? Infinity);
    return isFirst ? first.pop() : this.#due.splice(next, 1)[0];
  }

  #perform(step: Step): void {
    const gateway = this.#gateways[step.gateway]!;
    if (step.step === 0) {
      this.#attempts.all += 1;
      if (!gateway.policy.admits({ overdueMilliseconds: 0 })) {
        return this.#refuse(step, gateway);
      }
    }
    if (step.step === slotStep) {
      if (this.#freeSlots === 0) return void this.#waiting.push(step);
      this.#freeSlots -= 1;
    }
    const { workMilliseconds, untilNextMilliseconds } = steps[step.step]!;
    const endedAt = gateway.work(step.at, workMilliseconds);
    if (step.step < steps.length - 1) {
      const at = endedAt + untilNextMilliseconds;
      return void this.#due.push({ ...step, at, step: step.step + 1 });
    }
    this.#record(step, endedAt - step.firstAt <= objectiveMilliseconds);
    this.#freeSlots += 1;
    const next = this.#waiting.shift();
    if (next) this.#due.push({ ...next, at: endedAt });
  }

  #refuse(step: Step, gateway: SimulatedGateway): void {
    this.#attempts.refused += 1;
    const refusedAt = gateway.work(step.at, refusedMilliseconds);
    if (step.attempt === maximumAttempts) return this.#record(step, false);
    const count = this.#gateways.length;
    const other = 1 + Math.floor(this.#random() * (count - 1));
    this.#due.push({
      ...step,
      at: refusedAt + retryAfterMilliseconds * (0.75 + this.#random() / 2),
      gateway: (step.gateway + other) % count,
      attempt: step.attempt + 1,
    });
  }

  #record({ firstAt }: Step, isInTime: boolean): void {
    const { burst } = this.#scenario;
    const counts = this.#counts;
    counts.all += 1;
    counts.inTime += isInTime ? 1 : 0;
    if (!burst || firstAt < burst[1] + 2000) return;
    counts.after += 1;
    counts.afterInTime += isInTime ? 1 : 0;
  }
}
