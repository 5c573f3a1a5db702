import { describe, expect, it } from "vitest";
import { defaultQuotaSettings, totalAllowance } from "./quota_settings.ts";
import type { QuotaLimit } from "./quota_settings.ts";
import { offerLoads, seededRandom } from "./simulated_load_fixture.ts";
import type { LoadRecord, SimulatedLoad } from "./simulated_load_fixture.ts";
import { SimulatedNetwork } from "./simulated_network_fixture.ts";
import { LentAllowances } from "./lent_allowances_fixture.ts";
import { EqualShares, OneManager } from "./rejected_policies_fixture.ts";
import type {
  SimulatedFleetOptions,
  SimulatedPolicy,
} from "./simulated_policy_fixture.ts";

const settings = defaultQuotaSettings;
const until = 40_000;
const moveAt = 20_000;
const workspace = "works";
const siteMilliseconds = 20_000;

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

/** 68 gateways and 76 workspaces with 944 requests a second, 4 of them large. */
function runSite(create: (options: SimulatedFleetOptions) => SimulatedPolicy) {
  const network = new SimulatedNetwork(seededRandom(23));
  const names = Array.from({ length: 76 }, (_, at) => `works-${at}`);
  const current = new Map<string, QuotaLimit>(names.map((name, at) => {
    const ratePerSecond = at < 4 ? 200 : 3.45;
    return [name, { ratePerSecond, burst: ratePerSecond }];
  }));
  const policy = create({ network, gateways: 68, settings, limits: current });
  const records = [
    ...offerLoads(
      names.map((name) => ({
        workspace: name,
        rate: () => 0.9 * current.get(name)!.ratePerSecond,
        gateway: (_now, random) => Math.floor(random() * 68),
      })),
      { policy, network, until: siteMilliseconds },
    ).values(),
  ];
  const sum = (countOf: (record: LoadRecord) => number) =>
    records.reduce((total, record) => total + countOf(record), 0);
  const offered = sum(({ offeredAt }) => offeredAt.length);
  return {
    servedShare: sum(({ sentAt }) => sentAt.length) / offered,
    waitedShare: sum(({ waited }) => waited) / offered,
    messagesPerSecond: network.messages / siteMilliseconds * 1000,
    bytesPerSecond: network.bytes / siteMilliseconds * 1000,
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
      console.log(name, JSON.stringify(runSite(create)));
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
