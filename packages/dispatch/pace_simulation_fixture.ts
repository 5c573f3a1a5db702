import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseTarget, Distance } from "./choose_target.ts";
import type { PacePolicy } from "./pace_policies_fixture.ts";
import { NewTarget } from "./pace_scenario_fixture.ts";
import type { PaceResult, PaceScenario } from "./pace_scenario_fixture.ts";
import type { PaceDecision } from "./target_pace.ts";
import { ExchangeEnd } from "./exchange_end.ts";
import { TargetRecord } from "./target_record.ts";

const tickMilliseconds = 10;
const workMilliseconds = 250;
const deadlineMilliseconds = 2500;
const objectiveMilliseconds = 1000;
const maximumAttempts = 4;
/** Requests that a target queues beyond its slots before it rejects. */
const queueLength = 8;
/** Slow episodes of targets: three times as long, for 400 ms at a time. */
const episodeMilliseconds = 400;
const episodeShare = 0.2;
const episodeRatio = 3;
/** Mean work, episodes included, at a target of average speed. */
const meanMilliseconds = workMilliseconds *
  (1 - episodeShare + episodeShare * episodeRatio);
/** Speeds of the targets that serve from the start. */
const establishedSpeeds = [0.7, 1, 1, 1, 1.6];
/** Time at which the new target appears. */
const appearsAt = 3000;
const runMilliseconds = 11_000;
/** Period in which a slow target is slow, and a fragile one may crash. */
const weakMilliseconds = 4000;
const weakRatio = 4;
/** A fragile target crashes above this multiple of what its slots can do. */
const crashRateRatio = 1.5;
const restartMilliseconds = 1000;
/** Time within which a healthy target has to carry its share. */
const settlingMilliseconds = 2000;

interface Request {
  readonly arrivedAt: number;
  readonly tried: Set<string>;
  readonly chooser: Chooser;
}

interface Work {
  readonly request: Request;
  readonly sentAt: number;
  readonly expectedMilliseconds: number;
  readonly target: Target;
  endsAt: number;
}

interface Chooser {
  readonly records: Map<string, TargetRecord>;
  readonly waiting: Request[];
  policy: PacePolicy | undefined;
  hasProbed: boolean;
}

interface Target {
  readonly name: string;
  readonly speed: number;
  readonly isNew: boolean;
  running: Work[];
  waiting: Work[];
  readonly arrivals: number[];
  isSlow: boolean;
  bornAt: number;
  /** Slots in use, summed over ticks, before and after the settling time. */
  readonly busy: [early: number, settled: number];
}

/** Choosers, targets that serve, and a target that appears. */
export class PaceSimulation {
  readonly #scenario: PaceScenario;
  readonly #random: () => number;
  readonly #choosers: readonly Chooser[];
  readonly #targets: readonly Target[];
  readonly #new: Target;
  #now = 0;
  #rejected = 0;
  #othersRejected = 0;
  #crashes = 0;
  #broken = 0;
  #probes = 0;
  #completed = 0;
  #unserved = 0;
  #received = 0;

  constructor(scenario: PaceScenario) {
    this.#scenario = scenario;
    const generator = xoroshiro128plus(scenario.seed);
    this.#random = () => (generator.next() >>> 0) / 2 ** 32;
    this.#choosers = Array.from({ length: scenario.choosers }, () => ({
      records: new Map<string, TargetRecord>(),
      waiting: [],
      policy: undefined,
      hasProbed: false,
    }));
    this.#targets = [...establishedSpeeds, 1].map((speed, index) => ({
      name: String(index),
      speed,
      isNew: index === establishedSpeeds.length,
      running: [],
      waiting: [],
      arrivals: [],
      isSlow: false,
      bornAt: index === establishedSpeeds.length ? appearsAt : -Infinity,
      busy: [0, 0],
    }));
    this.#new = this.#targets.at(-1)!;
  }

  /** Plays the scenario. */
  run(): PaceResult {
    for (; this.#now < runMilliseconds; this.#now += tickMilliseconds) {
      if (this.#now % episodeMilliseconds === 0) {
        for (const target of this.#targets) {
          target.isSlow = this.#random() < episodeShare;
        }
      }
      if (this.#now === this.#new.bornAt) this.#pace();
      this.#endWork();
      this.#receive();
      for (const chooser of this.#choosers) this.#send(chooser);
      this.#measure();
    }
    return this.#result();
  }

  #pace(): void {
    for (const chooser of this.#choosers) {
      chooser.records.delete(this.#new.name);
      chooser.hasProbed = false;
      chooser.policy = this.#scenario.policy({
        now: this.#now,
        slots: this.#scenario.slots,
        random: this.#random,
      });
    }
  }

  #receive(): void {
    const { load, slots, choosers, firstChooserWeight = 1 } = this.#scenario;
    const capacity = this.#targets.length * slots / meanMilliseconds;
    const weights = choosers - 1 + firstChooserWeight;
    this.#choosers.forEach((chooser, index) => {
      const weight = index === 0 ? firstChooserWeight : 1;
      let expected = load * capacity * tickMilliseconds * weight / weights;
      for (; expected > 0; expected -= 1) {
        if (this.#random() >= expected) continue;
        const request = { arrivedAt: this.#now, tried: new Set<string>() };
        chooser.waiting.push({ ...request, chooser });
        chooser.policy?.recordReceived(1 / this.#targets.length);
        if (this.#now >= appearsAt) this.#received += 1;
      }
    });
  }

  #send(chooser: Chooser): void {
    while (chooser.waiting.length > 0) {
      const request = chooser.waiting[0]!;
      const isLate = this.#now - request.arrivedAt > deadlineMilliseconds;
      const target = isLate ? null : this.#choose(chooser, request);
      if (target === undefined) return;
      chooser.waiting.shift();
      if (target === null) {
        if (this.#now >= appearsAt) this.#unserved += 1;
        continue;
      }
      this.#sendTo(target, request);
    }
  }

  /** Returns undefined if the request waits, null if it is refused. */
  #choose(chooser: Chooser, request: Request): Target | undefined | null {
    const usable = this.#targets.filter((target) => target.bornAt <= this.#now);
    const choice = chooseTarget(
      usable.map(({ name, isNew }) => ({
        name,
        ...(isNew && { pace: this.#decide(chooser) }),
        slots: this.#scenario.slots,
        distance: Distance.region,
        record: this.#record(chooser, name),
      })),
      {
        now: this.#now,
        meanMilliseconds,
        workMilliseconds,
        objectiveMilliseconds,
        gateways: this.#scenario.choosers,
        random: this.#random,
        tried: request.tried,
      },
    );
    if (choice.kind === "none") return null;
    if (choice.kind === "wait") return undefined;
    const target = this.#targets[Number(choice.target.name)]!;
    if (target.isNew && chooser.policy!.probes && !chooser.hasProbed) {
      chooser.hasProbed = true;
      this.#probes += 1;
      this.#record(chooser, target.name).report(this.#load(target), this.#now);
      return undefined;
    }
    return target;
  }

  #decide(chooser: Chooser): PaceDecision {
    const { slots, choosers } = this.#scenario;
    return chooser.policy!.decide({
      now: this.#now,
      ageMilliseconds: this.#now - this.#new.bornAt,
      inFlight: this.#record(chooser, this.#new.name).inFlight,
      slots,
      choosers,
      meanMilliseconds,
    });
  }

  #sendTo(target: Target, request: Request): void {
    const record = this.#record(request.chooser, target.name);
    const work: Work = {
      request,
      target,
      sentAt: this.#now,
      expectedMilliseconds: record.expectedDuration(
        workMilliseconds,
        this.#now,
      ),
      endsAt: Infinity,
    };
    record.begin();
    if (target.isNew) request.chooser.policy!.recordSend();
    request.tried.add(target.name);
    target.arrivals.push(this.#now);
    if (target.running.length < this.#scenario.slots) this.#begin(work);
    else if (target.waiting.length < queueLength) target.waiting.push(work);
    else {
      if (target.isNew) this.#rejected += 1;
      else if (this.#now >= appearsAt) this.#othersRejected += 1;
      this.#end(work, ExchangeEnd.rejected);
      this.#retry(request);
    }
    if (target.isNew) this.#crashAboveRate(target);
  }

  #begin(work: Work): void {
    work.endsAt = this.#now +
      workMilliseconds * (0.5 + this.#random()) * this.#slowdown(work.target);
    work.target.running.push(work);
  }

  #endWork(): void {
    for (const target of this.#targets) {
      const ended = target.running.filter(({ endsAt }) => endsAt <= this.#now);
      if (ended.length === 0) continue;
      target.running = target.running.filter((work) => !ended.includes(work));
      while (
        target.running.length < this.#scenario.slots &&
        target.waiting.length > 0
      ) this.#begin(target.waiting.shift()!);
      for (const work of ended) {
        if (target.isNew) this.#completed += 1;
        this.#end(work, ExchangeEnd.answered);
      }
    }
  }

  #end(
    { request, target, sentAt, expectedMilliseconds }: Work,
    end: ExchangeEnd,
  ) {
    const record = this.#record(request.chooser, target.name);
    const at = {
      now: this.#now,
      durationMilliseconds: this.#now - sentAt,
      expectedMilliseconds,
    };
    record.end(end, at);
    if (end !== ExchangeEnd.broken) {
      record.report(this.#load(target), this.#now);
    }
    if (!target.isNew) return;
    request.chooser.policy!.recordEnd(end, at);
  }

  #retry(request: Request): void {
    if (request.tried.size < maximumAttempts) {
      request.chooser.waiting.push(request);
    } else if (this.#now >= appearsAt) this.#unserved += 1;
  }

  #crashAboveRate(target: Target): void {
    const { kind, slots } = this.#scenario;
    const isWeak = this.#now - target.bornAt < weakMilliseconds;
    if (kind !== NewTarget.fragile || !isWeak) return;
    const recent = target.arrivals.filter((at) => this.#now - at < 1000);
    const capacity = 1000 * slots / meanMilliseconds;
    if (recent.length <= Math.ceil(capacity * crashRateRatio)) return;
    this.#crashes += 1;
    const lost = [...target.running, ...target.waiting];
    target.running = [];
    target.waiting = [];
    target.arrivals.length = 0;
    for (const work of lost) {
      this.#broken += 1;
      this.#end(work, ExchangeEnd.broken);
      this.#retry(work.request);
    }
    target.bornAt = this.#now + restartMilliseconds;
  }

  #slowdown(target: Target): number {
    const isWeak = target.isNew && this.#scenario.kind === NewTarget.slow &&
      this.#now - target.bornAt < weakMilliseconds;
    return target.speed * (target.isSlow ? episodeRatio : 1) *
      (isWeak ? weakRatio : 1);
  }

  #load(target: Target) {
    return {
      running: target.running.length,
      waiting: target.waiting.length,
      slots: this.#scenario.slots,
      slowdown: this.#slowdown(target),
    };
  }

  #record(chooser: Chooser, name: string): TargetRecord {
    const existing = chooser.records.get(name);
    if (existing) return existing;
    const record = new TargetRecord();
    chooser.records.set(name, record);
    return record;
  }

  #measure(): void {
    if (this.#now < appearsAt) return;
    const isSettled = this.#now >= appearsAt + settlingMilliseconds;
    for (const { busy, running } of this.#targets) {
      busy[isSettled ? 1 : 0] += running.length;
    }
  }

  #result(): PaceResult {
    const shareOf = (period: 0 | 1) => {
      const others = this.#targets.filter(({ isNew }) => !isNew);
      const sum = others.reduce((total, { busy }) => total + busy[period], 0);
      return this.#new.busy[period] * others.length / sum;
    };
    return {
      rejected: this.#rejected,
      othersRejected: this.#othersRejected / establishedSpeeds.length,
      crashes: this.#crashes,
      broken: this.#broken,
      probes: this.#probes,
      completed: this.#completed,
      earlyShare: shareOf(0),
      settledShare: shareOf(1),
      unserved: this.#unserved,
      received: this.#received,
    };
  }
}
