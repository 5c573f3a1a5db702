import type { TargetView } from "@kingcupglade/fleet";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import { TargetRates } from "./target_rates.ts";

const target: TargetView = {
  name: "t",
  service: "catalogue",
  address: "t:80",
  dataCentre: "a",
  slots: 4,
  isLeaving: false,
  isCold: false,
  coldGateways: [],
  maximumPerSecond: null,
  limitGateways: [],
  bornAt: 0,
};
const stepMilliseconds = 20;

/** Gateways that want to send to one target all the time. */
class Fleet {
  perSecond: number | undefined;
  /** Number of gateways that share the limit, by gateway. */
  sharers = (_gateway: number) => 0;
  /** Gateways with a lower number have requests for the target. */
  busyGateways = Infinity;
  now = 0;
  readonly sent: number[] = [];
  readonly #gateways: readonly TargetRates[];

  constructor(gateways: number) {
    const generator = xoroshiro128plus(5);
    this.#gateways = Array.from(
      { length: gateways },
      (_, gateway) =>
        new TargetRates({
          synchronizer: {} as never,
          name: `g${gateway}`,
          limits: {
            of: () =>
              this.perSecond === undefined
                ? undefined
                : { perSecond: this.perSecond, learnedAt: 0 },
          },
          limitSharers: () => this.sharers(gateway),
          random: () => uniformFloat64(generator),
        }),
    );
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    for (; this.now < end; this.now += stepMilliseconds) {
      for (const [number, gateway] of this.#gateways.entries()) {
        if (number >= this.busyGateways) break;
        if (!gateway.allows(target, this.now)) continue;
        gateway.record(target, this.now);
        this.sent.push(this.now);
      }
    }
  }

  /** Returns the highest number of requests in 4 s from a time on. */
  highest(from: number): number {
    const counted = this.sent.filter((at) => at >= from);
    let highest = 0;
    let first = 0;
    for (const [last, at] of counted.entries()) {
      while (counted[first]! <= at - 4000) first += 1;
      highest = Math.max(highest, last + 1 - first);
    }
    return highest;
  }
}

function maximumIn4Seconds(perSecond: number): number {
  return 1.5 * 4 * perSecond + 5;
}

describe("TargetRates", () => {
  for (const perSecond of [0.5, 1, 2.2, 3.8, 20]) {
    it(`keeps three chosen gateways of 91 within ${perSecond} requests a second`, () => {
      const fleet = new Fleet(91);
      fleet.perSecond = perSecond;
      // All share the limit at first, until three are chosen.
      fleet.sharers = () => 91;
      fleet.run(1000);
      fleet.sharers = (gateway) => gateway < 3 ? 3 : 0;
      fleet.run(30_000);
      expect(fleet.highest(0)).toBeLessThanOrEqual(
        maximumIn4Seconds(perSecond),
      );
      expect(fleet.sent.length).toBeGreaterThan(31 * perSecond * 0.75);
    });
  }

  it("allows no burst when the chosen gateways are replaced", () => {
    const fleet = new Fleet(91);
    fleet.perSecond = 2;
    for (let chosen = 0; chosen < 90; chosen += 3) {
      fleet.sharers = (gateway) =>
        gateway >= chosen && gateway < chosen + 3 ? 3 : 0;
      fleet.run(2000);
    }
    expect(fleet.highest(0)).toBeLessThanOrEqual(maximumIn4Seconds(2));
  });

  it("allows nothing to a gateway that may not send to a limited target", () => {
    const fleet = new Fleet(3);
    fleet.perSecond = 50;
    fleet.run(2000);
    expect(fleet.sent).toEqual([]);
  });

  it("uses the limit in its manager's hand, a third of it in equal shares, if three of nine are busy", () => {
    const sentWith = (sharers: (gateway: number) => number) => {
      const fleet = new Fleet(9);
      fleet.perSecond = 3;
      fleet.busyGateways = 3;
      fleet.sharers = sharers;
      fleet.run(60_000);
      return fleet.sent.length / (60 * 3);
    };
    expect(sentWith((gateway) => gateway === 0 ? 1 : 0)).toBeGreaterThan(0.95);
    expect(sentWith(() => 9)).toBeLessThan(0.36);
  });

  it("sends now and then to a target whose limit is 0, to see it end", () => {
    const fleet = new Fleet(1);
    fleet.perSecond = 0;
    fleet.sharers = () => 1;
    fleet.run(20_000);
    expect(fleet.sent.length).toBeGreaterThanOrEqual(3);
    expect(fleet.highest(0)).toBeLessThanOrEqual(maximumIn4Seconds(0));
  });

  it("does not restrict a target that names no limit", () => {
    const fleet = new Fleet(1);
    fleet.run(1000);
    expect(fleet.sent).toHaveLength(1000 / stepMilliseconds);
  });
});
