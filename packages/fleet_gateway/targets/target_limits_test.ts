import { PoolMap } from "@kingcupglade/fleet";
import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { limitSharers, TargetLimits } from "./target_limits.ts";

describe("TargetLimits", () => {
  let clock: ManualClock;
  let events: unknown[];
  let limits: TargetLimits;

  beforeEach(() => {
    clock = new ManualClock(1000);
    events = [];
    limits = new TargetLimits({
      clock,
      logger: {
        debug() {},
        info: (_event, fields) => void events.push(fields),
        warn() {},
        error() {},
      },
    });
  });

  function respond(
    perSecond: number | null,
    more: { readonly sentAt?: number; readonly isConclusive?: boolean } = {},
  ): void {
    limits.record({
      target: "t",
      request: "r1",
      sentAt: clock.now(),
      perSecond,
      isConclusive: true,
      ...more,
    });
  }

  function applyTable(
    targets: Readonly<Record<string, number | null>>,
    term = 1,
  ): void {
    const views = Object.entries(targets).map(([name, maximumPerSecond]) => ({
      name,
      maximumPerSecond,
    }));
    limits.applyTable({
      position: { term },
      targets: views,
      target: (name: string) => views.find((each) => each.name === name),
    } as never);
  }

  it("keeps the limit that the last response named, and logs the changes", () => {
    for (const perSecond of [null, 2, 2, 1.5]) respond(perSecond);
    expect(limits.of("t")).toEqual({ perSecond: 1.5, learnedAt: 1000 });
    expect(events).toEqual([
      { target: "t", request: "r1", perSecond: 2, before: null },
      { target: "t", request: "r1", perSecond: 1.5, before: 2 },
    ]);
  });

  it("ends the limit when a later request's response names none", () => {
    respond(2);
    clock.advance(10);
    respond(null);
    expect(limits.of("t")).toBeUndefined();
    expect(events.at(-1)).toMatchObject({ perSecond: null, before: 2 });
  });

  it("keeps the limit if the response may be older than the limit", () => {
    respond(2);
    respond(null, { sentAt: 900 });
    expect(limits.of("t")?.perSecond).toBe(2);
  });

  it("keeps the limit after a rejection without it", () => {
    respond(2);
    clock.advance(10);
    respond(null, { isConclusive: false });
    expect(limits.of("t")?.perSecond).toBe(2);
  });

  it("discards the limits of targets that no longer exist", () => {
    respond(2);
    applyTable({});
    expect(limits.of("t")).toBeUndefined();
  });

  describe("published by the leader", () => {
    it("start, change and end the limit of a target", () => {
      applyTable({ t: 2 });
      expect(limits.of("t")?.perSecond).toBe(2);
      applyTable({ t: 1 });
      expect(limits.of("t")?.perSecond).toBe(1);
      applyTable({ t: null });
      expect(limits.of("t")).toBeUndefined();
      expect(limits.takeReports(false)).toEqual([]);
    });

    it("do not replace what a response named and was not reported yet", () => {
      applyTable({ t: 2 });
      respond(3);
      applyTable({ t: 1 });
      expect(limits.of("t")?.perSecond).toBe(3);
    });

    it("do not end a limit that a response named while they know none", () => {
      applyTable({ t: null });
      respond(3);
      limits.takeReports(false);
      applyTable({ t: null });
      expect(limits.of("t")?.perSecond).toBe(3);
    });

    it("are kept and reported again when a new leader knows none", () => {
      applyTable({ t: 2 });
      applyTable({ t: null }, 2);
      expect(limits.of("t")?.perSecond).toBe(2);
      expect(limits.takeReports(true)).toEqual([{ target: "t", perSecond: 2 }]);
      applyTable({ t: 2 }, 2);
      applyTable({ t: null }, 2);
      expect(limits.of("t")).toBeUndefined();
    });
  });

  it("reports each change once", () => {
    respond(2);
    expect(limits.takeReports(false)).toEqual([{ target: "t", perSecond: 2 }]);
    expect(limits.takeReports(false)).toEqual([]);
    clock.advance(10);
    respond(null);
    expect(limits.takeReports(false)).toEqual([
      { target: "t", perSecond: null },
    ]);
  });
});

describe("limitSharers", () => {
  const table = (managers: readonly string[], gatewayCount: number) => ({
    gatewayCount,
    pools: new PoolMap(
      managers.map((name) => ({ name, address: name, dataCentre: "a" })),
    ),
  });
  const sharers = (
    managers: readonly string[],
    limitGateways: readonly string[],
    gatewayCount = 9,
  ) =>
    limitSharers(table(managers, gatewayCount), {
      target: { name: "t", dataCentre: "a", limitGateways } as never,
      gateway: "g1",
    });

  it("is 0 for a target whose manager keeps the limit", () => {
    expect(sharers(["g1"], [])).toBe(0);
  });

  it("is the number of chosen gateways, and 0 at the others", () => {
    expect(sharers([], ["g1", "g2", "g3"])).toBe(3);
    expect(sharers([], ["g2", "g3"])).toBe(0);
  });

  it("is the number of all gateways, if known, until some are chosen", () => {
    expect(sharers([], [])).toBe(9);
    expect(sharers([], [], 0)).toBe(0);
  });
});
