import { describe, expect, it } from "vitest";
import type { LinkLoad, LinkService } from "./link_load.ts";
import { runLoad } from "./link_load.ts";
import type { LinkPolicy } from "./gateway_model.ts";
import type { Simulation } from "./link_model.ts";
import { BoundPolicy, NoPolicy, PacingPolicy } from "./link_policies.ts";

const seeds = Array.from({ length: 10 }, (_, at) => at + 1);

/** Differences between means of ten seeds that say nothing. */
const tolerance = 0.02;
const deadlineMilliseconds = 1500;
const largeDeadlineMilliseconds = 3000;
const small = {
  route: "lookup",
  perSecond: 15,
  bytes: (random: number) => 3000 + 2000 * random,
  deadlineMilliseconds,
};
/** 90 kB on average, up to 540 kB. */
const bundles = {
  route: "bundle",
  priority: 2,
  perSecond: 1.1,
  bytes: (random: number) => 25_000 + 515_000 * random ** 7,
  deadlineMilliseconds: largeDeadlineMilliseconds,
};

const secondSite: LinkLoad = {
  megabitsPerSecond: 2.52,
  routes: [small, bundles],
  burstFactor: 3,
  burstMilliseconds: 3000,
};
const smallResponses: LinkLoad = {
  megabitsPerSecond: 1.5,
  routes: [{ ...small, perSecond: 20, bytes: () => 5000 }],
  burstFactor: 2.5,
  burstMilliseconds: 3000,
};
const largeBundles: LinkLoad = {
  megabitsPerSecond: 4.62,
  routes: [{ ...small, perSecond: 20 }, {
    ...bundles,
    perSecond: 1.2,
    bytes: (random) => 60_000 + 1_000_000 * random ** 6,
  }],
  burstFactor: 3,
  burstMilliseconds: 3000,
};

type CreatePolicy = (
  simulation: Simulation,
  random: () => number,
) => LinkPolicy;

const pacing = (
  megabitsPerSecond: number,
  admits: boolean,
): CreatePolicy =>
(simulation, random) =>
  new PacingPolicy({ simulation, random, megabitsPerSecond, admits });

function meanOf(load: LinkLoad, create: CreatePolicy): LinkService {
  const all = seeds.map((seed) => runLoad(load, create, seed));
  const mean = (read: (each: LinkService) => number) =>
    all.reduce((sum, each) => sum + read(each), 0) / all.length;
  return {
    before: mean((each) => each.before),
    during: mean((each) => each.during),
    after: mean((each) => each.after),
    small: mean((each) => each.small),
  };
}

const loads = { secondSite, smallResponses, largeBundles };

function policiesFor(load: LinkLoad): Readonly<Record<string, CreatePolicy>> {
  return {
    none: () => new NoPolicy(),
    "bound 2": (_simulation, random) => new BoundPolicy(2, random),
    "bound 4": (_simulation, random) => new BoundPolicy(4, random),
    pacing: pacing(load.megabitsPerSecond, false),
    admission: pacing(load.megabitsPerSecond, true),
  };
}

// Prints the figures of docs/design/link.md.
const printsFigures = process.env["LINK_FIGURES"] !== undefined;

describe("a link that a burst exceeds for 3 s", () => {
  for (const [name, load] of Object.entries(loads)) {
    const services = new Map(
      Object.entries(policiesFor(load)).map(([policy, create]) =>
        [policy, meanOf(load, create)] as const
      ),
    );
    const served = services.get("admission")!;

    // Guards against a collapse that outlasts its burst, as callers retry.
    it(`with the load "${name}" serves again 0.9 of before within 2 s`, () => {
      expect(served.after).toBeGreaterThanOrEqual(0.9 * served.before);
    });

    // Guards against a policy that a simpler one replaces.
    it(`with the load "${name}" is served best by pacing and admission`, () => {
      for (const [policy, service] of services) {
        expect([policy, service.after <= served.after + tolerance])
          .toEqual([policy, true]);
      }
    });

    // Guards against refusals that the link does not call for.
    it(`with the load "${name}" is served as well as without it before`, () => {
      const unlimited = services.get("none")!;
      expect(served.before).toBeGreaterThanOrEqual(
        unlimited.before - tolerance,
      );
    });

    if (printsFigures) {
      console.table(Object.fromEntries(services));
    }
  }

  // Guards against a rate in the settings that is wrong by a quarter.
  for (const factor of [0.75, 1.25]) {
    it(`recovers if the settings say ${factor} of its rate`, () => {
      const { before, after } = meanOf(
        secondSite,
        pacing(secondSite.megabitsPerSecond * factor, true),
      );
      if (printsFigures) console.table({ factor, before, after });
      expect(after).toBeGreaterThanOrEqual(0.9 * before);
    });
  }
});
