import type { TargetView } from "@kingcupglade/fleet";
import { ManualClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { describe, expect, it } from "vitest";
import { TargetNotices } from "./target_notices.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };
const plain = {
  requestId: "r1",
  didNotRun: true,
  seemsNotRun: true,
  isSigned: false,
  load: undefined,
  maximumRequestsPerSecond: undefined,
  isLeaving: false,
  pauseMilliseconds: undefined,
  hasUnreadableNotice: false,
};

function view(name: string, bornAt: number): TargetView {
  return { name, bornAt } as TargetView;
}

describe("TargetNotices", () => {
  const target = view("i-1", 7);

  function create(random = 0) {
    const clock = new ManualClock(0);
    const metrics = createMetrics();
    const notices = new TargetNotices({
      clock,
      logger,
      metrics,
      random: () => random,
    });
    return { clock, notices };
  }

  it("pauses one incarnation, not the next one of the same name", () => {
    const { notices } = create();
    notices.record(target, { ...plain, pauseMilliseconds: 1500 }, "r1");
    expect(notices.mayUse(target)).toBe(false);
    expect(notices.pauseMilliseconds(target)).toBe(1500);
    expect(notices.mayUse(view("i-1", 8))).toBe(true);
    expect(notices.unusable()).toEqual(["i-1"]);
  });

  it("ends a pause in time, and not sooner for a shorter one", () => {
    const { clock, notices } = create();
    notices.record(target, { ...plain, pauseMilliseconds: 1500 }, "r1");
    notices.record(target, { ...plain, pauseMilliseconds: 100 }, "r2");
    clock.advance(1499);
    expect(notices.mayUse(target)).toBe(false);
    clock.advance(1);
    expect(notices.mayUse(target)).toBe(true);
  });

  it("spreads the ends of a pause over the gateways", () => {
    const ends = [0, 0.5, 1].map((random) => {
      const { notices } = create(random);
      notices.record(target, { ...plain, pauseMilliseconds: 2000 }, "r1");
      return notices.pauseMilliseconds(target);
    });
    expect(ends).toEqual([2000, 2200, 2400]);
  });

  it("takes no pause of more than a day", () => {
    const { notices } = create();
    notices.record(target, { ...plain, pauseMilliseconds: 1e12 }, "r1");
    expect(notices.pauseMilliseconds(target)).toBe(86_400_000);
  });

  it("uses a target that leaves never again, and reports it once", () => {
    const { clock, notices } = create();
    notices.record(target, { ...plain, isLeaving: true }, "r1");
    clock.advance(3_600_000);
    expect(notices.mayUse(target)).toBe(false);
    const incarnation = { target: "i-1", bornAt: 7 };
    expect(notices.takeLeaving(false)).toEqual([incarnation]);
    expect(notices.takeLeaving(false)).toEqual([]);
    // A new leader may not know it.
    expect(notices.takeLeaving(true)).toEqual([incarnation]);
  });

  // Failure: a leaving target received requests again after a change of leader.
  it("keeps a notice while a new leader does not list the target yet", () => {
    const { clock, notices } = create();
    notices.record(target, { ...plain, isLeaving: true }, "r1");
    notices.applyTable({ target: () => undefined });
    clock.advance(5000);
    notices.applyTable({ target: () => target });
    expect(notices.mayUse(target)).toBe(false);
    expect(notices.takeLeaving(true)).toHaveLength(1);
  });

  it("forgets an incarnation that has not been listed for long", () => {
    const { clock, notices } = create();
    notices.record(target, { ...plain, isLeaving: true }, "r1");
    notices.applyTable({ target: () => undefined });
    clock.advance(600_001);
    notices.applyTable({ target: () => undefined });
    expect(notices.unusable()).toHaveLength(0);
  });

  it("forgets an incarnation that is gone", () => {
    const { notices } = create();
    notices.record(target, { ...plain, isLeaving: true }, "r1");
    notices.applyTable({ target: () => target });
    expect(notices.unusable()).toHaveLength(1);
    notices.applyTable({ target: () => view("i-1", 9) });
    expect(notices.unusable()).toHaveLength(0);
  });
});
