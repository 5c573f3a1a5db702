import { describe, expect, it } from "vitest";
import { defaultQuotaSettings, totalAllowance } from "./quota_settings.ts";
import type { QuotaLimit } from "./quota_settings.ts";
import { offerLoads, seededRandom } from "./simulated_load_fixture.ts";
import type { LoadRecord, SimulatedLoad } from "./simulated_load_fixture.ts";
import { SimulatedNetwork } from "./simulated_network_fixture.ts";
import { LentAllowances } from "./lent_allowances_fixture.ts";
import { EqualShares, OneManager } from "./rejected_policies_fixture.ts";
import { gatewayName } from "./simulated_policy_fixture.ts";
import type {
  SimulatedFleetOptions,
  SimulatedPolicy,
} from "./simulated_policy_fixture.ts";

const settings = defaultQuotaSettings;
const until = 40_000;
const moveAt = 20_000;
const workspace = "works";
const siteMilliseconds = 20_000;
const siteLogMilliseconds = 61_000;
/** Callers that move use one gateway for this time. */
const callerStayMilliseconds = 2000;
/** All gateways have started by then. */
const siteStartMilliseconds = 11_000;

const limits = {
  small: { ratePerSecond: 1, burst: 1 },
  medium: { ratePerSecond: 10, burst: 10 },
  large: { ratePerSecond: 156, burst: 156 },
} satisfies Record<string, QuotaLimit>;

const policies = {
  "equal shares": (options: SimulatedFleetOptions) => new EqualShares(options),
  "one manager": (options: SimulatedFleetOptions) => new OneManager(options),
  "lent allowances": (options: SimulatedFleetOptions) =>
    new LentAllowances(options),
};

/** A case of the comparison. */
interface Case {
  readonly gateways: number;
  readonly limit: QuotaLimit;
  /** Load as a multiple of the rate. */
  readonly load: number;
  readonly spread: "even" | "one";
  readonly fault?: "cut-off" | "leader" | "lowered";
}

interface Result {
  readonly record: LoadRecord;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly total: number;
}

function run(
  create: (options: SimulatedFleetOptions) => SimulatedPolicy,
  { gateways, limit, load, spread, fault }: Case,
): Result {
  const network = new SimulatedNetwork(seededRandom(17));
  const current = new Map([[workspace, limit]]);
  const policy = create({ network, gateways, settings, limits: current });
  const { schedule } = network;
  schedule.after(moveAt, () => {
    // The gateway that all callers used is the one that is cut off.
    if (fault === "cut-off") network.isolated.add("front-0");
    if (fault === "leader") policy.loseLeader();
    if (fault !== "lowered") return;
    current.set(workspace, {
      ...limit,
      ratePerSecond: limit.ratePerSecond / 2,
    });
    policy.limitsChanged();
  });
  const simulatedLoad: SimulatedLoad = {
    workspace,
    rate: () => limit.ratePerSecond * load,
    gateway: (now, random) =>
      spread === "even"
        ? Math.floor(random() * gateways)
        : now < moveAt
        ? 0
        : 1,
  };
  const record = offerLoads([simulatedLoad], { policy, network, until })
    .get(workspace)!;
  return {
    record,
    messagesPerSecond: network.messages / until * 1000,
    bytesPerSecond: network.bytes / until * 1000,
    total: totalAllowance(limit, settings),
  };
}

/** 76 workspaces with 944 requests a second together, 4 of them large. */
function siteLimits(): Map<string, QuotaLimit> {
  const names = Array.from({ length: 76 }, (_, at) => `works-${at}`);
  return new Map(names.map((name, at) => {
    const ratePerSecond = at < 4 ? 200 : 3.45;
    return [name, { ratePerSecond, burst: ratePerSecond }];
  }));
}

function sumOf(
  records: Iterable<LoadRecord>,
  countOf: (record: LoadRecord) => number,
): number {
  return [...records].reduce((total, record) => total + countOf(record), 0);
}

/** The first site, with 68 gateways unless another number is given. */
function runSite(
  create: (options: SimulatedFleetOptions) => SimulatedPolicy,
  { milliseconds = siteMilliseconds, gateways = 68 } = {},
) {
  const network = new SimulatedNetwork(seededRandom(23));
  const current = siteLimits();
  const policy = create({ network, gateways, settings, limits: current });
  const records = [
    ...offerLoads(
      [...current].map(([name, { ratePerSecond }]) => ({
        workspace: name,
        rate: () => 0.9 * ratePerSecond,
        gateway: (_now, random) => Math.floor(random() * gateways),
      })),
      { policy, network, until: milliseconds },
    ).values(),
  ];
  const offered = sumOf(records, ({ offeredAt }) => offeredAt.length);
  return {
    servedShare: sumOf(records, ({ sentAt }) => sentAt.length) / offered,
    waitedShare: sumOf(records, ({ waited }) => waited) / offered,
    messagesPerSecond: network.messages / milliseconds * 1000,
    bytesPerSecond: network.bytes / milliseconds * 1000,
    committedAt: policy instanceof LentAllowances ? policy.log.committedAt : [],
  };
}

/**
 * A leader of the first site freezes for 2 s and is replaced, and gateways are lost
 * in that moment. The limits are 1.6 times the load.
 */
function runLeaderChange(
  { gateways, lost, spread }: {
    readonly gateways: number;
    readonly lost: number;
    readonly spread: "even" | "moving";
  },
) {
  const network = new SimulatedNetwork(seededRandom(29));
  const current = siteLimits();
  const policy = new LentAllowances({
    network,
    gateways,
    settings,
    limits: current,
  });
  network.schedule.after(moveAt, () => {
    policy.freezeLeader(2000);
    for (let at = 0; at < lost; at += 1) {
      network.isolated.add(gatewayName(at));
    }
  });
  const records = offerLoads(
    [...current].map(([name, { ratePerSecond }], index) => ({
      workspace: name,
      rate: () => ratePerSecond / 1.6,
      // Callers of a lost gateway go elsewhere.
      gateway: (now, random) => {
        const first = now < moveAt ? 0 : lost;
        // A large workspace has many callers.
        const chosen = spread === "even" || ratePerSecond > 10
          ? Math.floor(random() * gateways)
          : Math.floor(now / callerStayMilliseconds) + index;
        return first + chosen % (gateways - first);
      },
    })),
    { policy, network, until: moveAt + 15_000 },
  );
  const { respondingSince: from } = policy;
  const isWithin = (at: number) => at >= from && at < from + 5000;
  // Nearly all workspaces are small, and nearly all requests of large ones.
  const small = [...records].filter(([name]) =>
    current.get(name)!.ratePerSecond < 10
  ).map(([, record]) => record);
  const shareOf = (each: readonly LoadRecord[]) =>
    sumOf(each, ({ servedAt }) => servedAt.filter(isWithin).length) /
    sumOf(each, ({ offeredAt }) => offeredAt.filter(isWithin).length);
  return {
    from: from - moveAt,
    servedShare: shareOf([...records.values()]),
    smallServedShare: shareOf(small),
    isWithinTotals: [...records].every(([name, record]) =>
      record.highest(settings.windowMilliseconds) <=
        totalAllowance(current.get(name)!, settings)
    ),
  };
}

function describeCase({ gateways, limit, load, spread, fault }: Case): string {
  return `${gateways} gateways, ${limit.ratePerSecond}/s at ${load}, ${spread}` +
    (fault ? `, ${fault}` : "");
}

const steadyCases: readonly Case[] = [17, 68].flatMap((gateways) =>
  Object.values(limits).flatMap((limit) =>
    (["even", "one"] as const).map((spread) => ({
      gateways,
      limit,
      load: 0.9,
      spread,
    }))
  )
);

const overloadCases: readonly Case[] = steadyCases.map((each) => ({
  ...each,
  load: 2,
}));

const faultCases: readonly Case[] = (["cut-off", "leader", "lowered"] as const)
  .flatMap((fault) =>
    (["even", "one"] as const).map((spread) => ({
      gateways: 68,
      limit: limits.large,
      load: 0.9,
      spread,
      fault,
    }))
  );

describe("The comparison of policies", () => {
  const isPrinted = process.env["QUOTA_COMPARISON"] === "print";

  it.runIf(isPrinted)("prints the first site", () => {
    for (const [name, create] of Object.entries(policies)) {
      const { committedAt, ...figures } = runSite(create);
      console.log(name, JSON.stringify(figures), committedAt.length);
    }
  });

  it.runIf(isPrinted)("prints leader changes at the first site", () => {
    for (const gateways of [17, 68]) {
      for (const spread of ["even", "moving"] as const) {
        for (const lost of [0, 2]) {
          const result = runLeaderChange({ gateways, lost, spread });
          console.log(gateways, spread, lost, JSON.stringify(result));
        }
      }
    }
    for (const gateways of [17, 68]) {
      const { committedAt } = runSite(policies["lent allowances"], {
        milliseconds: siteLogMilliseconds,
        gateways,
      });
      console.log("entries", gateways, JSON.stringify(committedAt));
    }
  });

  // Each gateway sees less than one request a second of most workspaces, and a
  // call for most requests would be a message between regions for each.
  it("finds most requests of the first site decided without a call", () => {
    const { servedShare, waitedShare } = runSite(policies["lent allowances"]);
    expect(servedShare).toBeGreaterThan(0.95);
    expect(waitedShare).toBeLessThan(0.35);
  });

  for (const each of [...steadyCases, ...overloadCases, ...faultCases]) {
    it.runIf(isPrinted)(`prints ${describeCase(each)}`, () => {
      for (const [name, create] of Object.entries(policies)) {
        const { record, total, ...traffic } = run(create, each);
        console.log([
          describeCase(each),
          name,
          `served ${record.servedShare(1000).toFixed(3)}`,
          `after ${record.servedShare(moveAt, moveAt + 5000).toFixed(3)}`,
          `highest ${record.highest(settings.windowMilliseconds)} of ${total}`,
          `waited ${(record.waited / record.offeredAt.length).toFixed(3)}`,
          `messages ${traffic.messagesPerSecond.toFixed(1)}`,
          `bytes ${traffic.bytesPerSecond.toFixed(0)}`,
        ].join(" | "));
      }
    });
  }

  for (const each of [...steadyCases, ...overloadCases, ...faultCases]) {
    // More than the total in a window breaks the promise to the workspaces.
    it(`finds lent allowances within the total: ${describeCase(each)}`, () => {
      const { record, total } = run(policies["lent allowances"], each);
      expect(record.highest(settings.windowMilliseconds))
        .toBeLessThanOrEqual(total);
    });
  }

  for (const each of steadyCases) {
    // A load below the limit must not be rejected because it is uneven.
    it(`finds load below the limit served: ${describeCase(each)}`, () => {
      const { record } = run(policies["lent allowances"], each);
      expect(record.servedShare(1000)).toBeGreaterThan(0.95);
    });
  }

  for (const each of overloadCases) {
    // What the limit allows should be used.
    it(`finds the limit used: ${describeCase(each)}`, () => {
      const { record } = run(policies["lent allowances"], each);
      const { ratePerSecond } = each.limit;
      const served = record.sentAt.length / ((until - 1000) / 1000);
      expect(served).toBeGreaterThan(0.95 * ratePerSecond);
    });
  }

  for (const gateways of [17, 68]) {
    for (const ratePerSecond of [1, 2, 5, 20]) {
      // Too few for one request at each gateway, and no burst to spare.
      it(`finds 0.9 of ${ratePerSecond}/s served by ${gateways} gateways`, () => {
        const limit = { ratePerSecond, burst: 0 };
        const each = { gateways, limit, load: 0.9, spread: "even" } as const;
        expect(run(policies["lent allowances"], each).record.servedShare(1000))
          .toBeGreaterThan(0.97);
      });
    }
  }

  for (const gateways of [17, 68]) {
    for (const spread of ["even", "moving"] as const) {
      // 3,831 attempts of a day were rejected with 429 for 9 s after a new leader.
      it(`finds a new leader's first site served: ${gateways} gateways, ${spread}`, () => {
        const { isWithinTotals, servedShare, smallServedShare } =
          runLeaderChange({ gateways, lost: 0, spread });
        expect(isWithinTotals).toBe(true);
        expect(servedShare).toBeGreaterThanOrEqual(0.95);
        expect(smallServedShare).toBeGreaterThanOrEqual(0.95);
      });

      // Lost borrowers never report.
      it(`finds it served with two of ${gateways} gateways lost, ${spread}`, () => {
        const { isWithinTotals, servedShare, smallServedShare } =
          runLeaderChange({ gateways, lost: 2, spread });
        expect(isWithinTotals).toBe(true);
        expect(servedShare).toBeGreaterThanOrEqual(0.9);
        expect(smallServedShare).toBeGreaterThanOrEqual(0.9);
      });
    }
  }

  for (const gateways of [17, 68]) {
    // Each entry is written and sent to all control VMs.
    it(`finds at most one log entry a second: ${gateways} gateways`, () => {
      const { committedAt } = runSite(policies["lent allowances"], {
        milliseconds: siteLogMilliseconds,
        gateways,
      });
      const later = committedAt.filter((at) => at > siteStartMilliseconds);
      expect(committedAt.length).toBeGreaterThan(0);
      expect(later.length).toBeLessThanOrEqual(
        (siteLogMilliseconds - siteStartMilliseconds) / 1000,
      );
    });
  }

  it("finds that equal shares reject what comes to one gateway", () => {
    const { record } = run(policies["equal shares"], {
      gateways: 68,
      limit: limits.large,
      load: 0.9,
      spread: "one",
    });
    expect(record.servedShare(1000)).toBeLessThan(0.1);
  });

  it("finds that one manager needs a message for nearly every request", () => {
    const { record } = run(policies["one manager"], {
      gateways: 68,
      limit: limits.large,
      load: 0.9,
      spread: "even",
    });
    expect(record.waited / record.offeredAt.length).toBeGreaterThan(0.95);
  });

  it("finds a lowered limit in force 2.5 s after the change", () => {
    const each = faultCases.find(({ fault }) => fault === "lowered")!;
    const { record } = run(policies["lent allowances"], each);
    const { ratePerSecond, burst } = each.limit;
    const lowered = totalAllowance(
      { ratePerSecond: ratePerSecond / 2, burst },
      settings,
    );
    expect(record.highest(settings.windowMilliseconds, moveAt + 2500))
      .toBeLessThanOrEqual(lowered);
  });
});
