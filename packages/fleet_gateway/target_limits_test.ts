import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { TargetLimits } from "./target_limits.ts";

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
    perSecond: number | undefined,
    more: {
      readonly sentAt?: number;
      readonly isSigned?: boolean;
      readonly didNotRun?: boolean;
    } = {},
  ): void {
    const { sentAt = clock.now(), isSigned = true, didNotRun = false } = more;
    limits.record({
      target: "t",
      request: "r1",
      sentAt,
      head: { maximumRequestsPerSecond: perSecond, isSigned, didNotRun },
    });
  }

  it("keeps the limit that the last response named, and logs the changes", () => {
    for (const perSecond of [undefined, 2, 2, 1.5]) respond(perSecond);
    expect(limits.of("t")).toEqual({ perSecond: 1.5, learnedAt: 1000 });
    expect(events).toEqual([
      { target: "t", request: "r1", perSecond: 2, before: null },
      { target: "t", request: "r1", perSecond: 1.5, before: 2 },
    ]);
  });

  it("ends the limit when a later request's response names none", () => {
    respond(2);
    clock.advance(10);
    respond(undefined);
    expect(limits.of("t")).toBeUndefined();
    expect(events.at(-1)).toMatchObject({ perSecond: null, before: 2 });
  });

  it("keeps the limit if the response may be older than the limit", () => {
    respond(2);
    respond(undefined, { sentAt: 900 });
    expect(limits.of("t")?.perSecond).toBe(2);
  });

  it("keeps the limit after a rejection or an unsigned response without it", () => {
    respond(2);
    clock.advance(10);
    respond(undefined, { didNotRun: true });
    respond(undefined, { isSigned: false });
    expect(limits.of("t")?.perSecond).toBe(2);
  });

  it("discards the limits of targets that no longer exist", () => {
    respond(2);
    limits.retainOnly((name) => name !== "t");
    expect(limits.of("t")).toBeUndefined();
  });
});
