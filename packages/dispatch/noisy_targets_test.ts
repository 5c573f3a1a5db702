import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import { chooseTarget, Distance } from "./choose_target.ts";
import { ExchangeEnd } from "./exchange_end.ts";
import { TargetRecord } from "./target_record.ts";

/**
 * Models shared machines: in a fifth of the intervals of this length, work takes
 * three times as long.
 */
const episodeMilliseconds = 400;
const episodeShare = 0.2;
const episodeRatio = 3;
const workMilliseconds = 220;
const objectiveMilliseconds = 600;
const slots = 4;

type Policy = (
  records: readonly TargetRecord[],
  now: number,
  random: () => number,
) => number | null;

/** The baseline: a target with the gateway's fewest requests in flight. */
const fewestInFlight: Policy = (records, _now, random) => {
  const minimum = Math.min(...records.map(({ inFlight }) => inFlight));
  const best = records.flatMap((record, index) =>
    record.inFlight === minimum ? [index] : []
  );
  return best[Math.floor(random() * best.length)]!;
};

/** The policy under test. */
const adaptive: Policy = (records, now, random) => {
  const choice = chooseTarget(
    records.map((record, index) => ({
      name: String(index),
      slots,
      distance: Distance.region,
      record,
    })),
    {
      now,
      meanMilliseconds: workMilliseconds,
      workMilliseconds,
      objectiveMilliseconds,
      gateways: 3,
      random,
      tried: new Set(),
    },
  );
  return choice.kind === "chosen" ? Number(choice.target.name) : null;
};

/** Returns a generator of uniform numbers between 0 and 1. */
function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

interface Work {
  readonly endsAt: number;
  readonly beganAt: number;
  readonly gateway: number;
  readonly target: number;
  readonly expectedMilliseconds: number;
}

/** Returns the share of late requests for three gateways and six targets. */
function lateShare(policy: Policy, seed: number): number {
  const random = createRandom(seed);
  const speeds = [0.5, 1, 1, 1, 1.5, 1];
  const gateways = Array.from(
    { length: 3 },
    () => speeds.map(() => new TargetRecord()),
  );
  const running: Work[] = [];
  const waiting: { gateway: number; at: number }[] = [];
  let slow = speeds.map(() => false);
  let [late, total] = [0, 0];
  for (let now = 0; now < 60_000; now += 5) {
    if (now % episodeMilliseconds === 0) {
      slow = speeds.map(() => random() < episodeShare);
    }
    const slowdown = (target: number) =>
      speeds[target]! * (slow[target] ? episodeRatio : 1);
    for (const work of running.filter(({ endsAt }) => endsAt <= now)) {
      running.splice(running.indexOf(work), 1);
      const record = gateways[work.gateway]![work.target]!;
      record.end(ExchangeEnd.answered, {
        now,
        durationMilliseconds: now - work.beganAt,
        expectedMilliseconds: work.expectedMilliseconds,
      });
      record.report({
        running: running.filter(({ target }) => target === work.target).length,
        waiting: 0,
        slots,
        slowdown: slowdown(work.target),
      }, now);
    }
    // 30 requests per second.
    if (random() < 0.15) {
      waiting.push({ gateway: Math.floor(random() * 3), at: now });
    }
    for (const request of [...waiting]) {
      const records = gateways[request.gateway]!;
      const target = policy(records, now, random);
      if (target === null) continue;
      waiting.splice(waiting.indexOf(request), 1);
      const record = records[target]!;
      const expectedMilliseconds = record.expectedDuration(
        workMilliseconds,
        now,
      );
      record.begin();
      const duration = workMilliseconds * (0.5 + random()) * slowdown(target);
      running.push({
        endsAt: now + duration,
        beganAt: now,
        gateway: request.gateway,
        target,
        expectedMilliseconds,
      });
      total += 1;
      if (now + duration - request.at > objectiveMilliseconds) late += 1;
    }
  }
  return late / total;
}

describe("targets with short slow episodes", () => {
  const seeds = [1, 2, 3, 4, 5];
  const mean = (policy: Policy) =>
    seeds.reduce((sum, seed) => sum + lateShare(policy, seed), 0) /
    seeds.length;

  it("answer late less than half as often as under the baseline policy", () => {
    const [baselineShare, ownShare] = [mean(fewestInFlight), mean(adaptive)];
    expect(baselineShare).toBeGreaterThan(0.05);
    expect(ownShare).toBeLessThan(baselineShare / 2);
  });
});

/** Returns the share of late requests for nine gateways and one key owner. */
function lateShareAtOwner(probesFirst: boolean, seed: number): number {
  const random = createRandom(seed);
  const records = Array.from({ length: 9 }, () => new TargetRecord());
  const responses: { at: number; gateway: number; slowdown: number }[] = [];
  const waiting: { gateway: number; at: number }[] = [];
  const ownerWorkMilliseconds = 550;
  const ownerObjectiveMilliseconds = 1500;
  let isSlow = false;
  let [late, total] = [0, 0];
  const load = () => ({
    running: 1,
    waiting: 0,
    slots,
    slowdown: isSlow ? episodeRatio : 1,
  });
  for (let now = 0; now < 300_000; now += 5) {
    if (now % episodeMilliseconds === 0) isSlow = random() < episodeShare;
    for (const response of responses.filter(({ at }) => at <= now)) {
      responses.splice(responses.indexOf(response), 1);
      records[response.gateway]!.report(load(), now);
    }
    // Four requests per second.
    if (random() < 0.02) {
      waiting.push({ gateway: Math.floor(random() * 9), at: now });
    }
    for (const request of [...waiting]) {
      const record = records[request.gateway]!;
      if (
        probesFirst && record.recommendedPause(ownerWorkMilliseconds, now) > 0
      ) continue;
      if (probesFirst && record.freshness(now) === "stale") {
        record.recordProbeEnd(load(), now);
        continue;
      }
      waiting.splice(waiting.indexOf(request), 1);
      const duration = ownerWorkMilliseconds * (0.5 + random()) *
        load().slowdown;
      responses.push({
        at: now + duration,
        gateway: request.gateway,
        slowdown: load().slowdown,
      });
      total += 1;
      if (now + duration - request.at > ownerObjectiveMilliseconds) late += 1;
    }
  }
  return late / total;
}

describe("an owner with short slow episodes", () => {
  it("answers late less than half as often if it is probed first", () => {
    const [baselineShare, ownShare] = [false, true].map((probesFirst) =>
      [1, 2, 3].reduce(
        (sum, seed) => sum + lateShareAtOwner(probesFirst, seed),
        0,
      ) / 3
    );
    expect(baselineShare).toBeGreaterThan(0.05);
    expect(ownShare).toBeLessThan(baselineShare! / 2);
  });
});

describe("TargetRecord", () => {
  it("does not need another probe soon after one that was not answered", () => {
    const record = new TargetRecord();
    expect(record.freshness(0)).toBe("fresh");
    record.report({ running: 0, waiting: 0, slots, slowdown: 1 }, 0);
    expect(record.freshness(100)).toBe("fresh");
    expect(record.freshness(300)).toBe("stale");
    record.recordProbeStart();
    expect(record.freshness(310)).toBe("probing");
    record.recordProbeEnd(undefined, 420);
    expect(record.freshness(430)).toBe("fresh");
    expect(record.freshness(700)).toBe("stale");
  });
});
