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
/** Processor time of a request that is served, and of one that is refused. */
const servedMilliseconds = 4;
const refusedMilliseconds = 0.8;
const stallInterval = 1000;
const targetMilliseconds = 180;
const objectiveMilliseconds = 600;
const retryAfterMilliseconds = 100;
const maximumAttempts = 3;

interface Arrival {
  readonly at: number;
  readonly firstAt: number;
  readonly gateway: number;
  readonly attempt: number;
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
  {
    shares,
    perSecond,
    burstFactor = 1,
    burst,
    stallMilliseconds = 0,
    until,
    seed,
  }: SheddingScenario,
  createPolicy: (random: () => number) => SheddingPolicy,
): SheddingResult {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const gateways = shares.map((share) =>
    new SimulatedGateway(share, createPolicy(random))
  );
  const arrivals = shares.flatMap((_, gateway) => {
    const times: Arrival[] = [];
    let at = 0;
    while (at < until) {
      const isBurst = burst && at >= burst[0] && at < burst[1];
      const rate = perSecond * (isBurst ? burstFactor : 1) / 1000;
      at += -Math.log(1 - random()) / rate;
      times.push({ at, firstAt: at, gateway, attempt: 1 });
    }
    return times;
  });
  const counts = { all: 0, inTime: 0, after: 0, afterInTime: 0 };
  const attempts = { all: 0, refused: 0 };
  const record = (firstAt: number, isInTime: boolean) => {
    counts.all += 1;
    counts.inTime += isInTime ? 1 : 0;
    if (!burst || firstAt < burst[1] + 2000) return;
    counts.after += 1;
    counts.afterInTime += isInTime ? 1 : 0;
  };
  let tickAt = 0;
  while (arrivals.length > 0) {
    let next = 0;
    for (let index = 1; index < arrivals.length; index += 1) {
      if (arrivals[index]!.at < arrivals[next]!.at) next = index;
    }
    const [arrival] = arrivals.splice(next, 1);
    const { at, firstAt, gateway: index, attempt } = arrival!;
    for (; tickAt <= at; tickAt += tickMilliseconds) {
      for (const each of gateways) {
        each.tick(tickAt);
        if (tickAt % stallInterval === 0) each.stall(tickAt, stallMilliseconds);
      }
    }
    const gateway = gateways[index]!;
    attempts.all += 1;
    const isAdmitted = gateway.policy.admits({
      overdueMilliseconds: 0,
    });
    if (isAdmitted) {
      const end = gateway.work(at, servedMilliseconds) + targetMilliseconds;
      record(firstAt, end - firstAt <= objectiveMilliseconds);
      continue;
    }
    attempts.refused += 1;
    const refusedAt = gateway.work(at, refusedMilliseconds);
    if (attempt === maximumAttempts) {
      record(firstAt, false);
      continue;
    }
    const others = gateways.length - 1;
    arrivals.push({
      at: refusedAt + retryAfterMilliseconds * (0.75 + random() / 2),
      firstAt,
      gateway: (index + 1 + Math.floor(random() * others)) % gateways.length,
      attempt: attempt + 1,
    });
  }
  return {
    inTime: counts.inTime / counts.all,
    afterBurst: counts.after === 0 ? 1 : counts.afterInTime / counts.after,
    refused: attempts.refused / attempts.all,
  };
}
