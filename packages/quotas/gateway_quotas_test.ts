import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { GatewayQuotas } from "./gateway_quotas.ts";
import { leaseMilliseconds } from "./quota_settings.ts";
import type { QuotaAnswerRow, QuotaReport } from "./messages.ts";

describe("GatewayQuotas", () => {
  let clock: ManualClock;
  let elapsedClock: ManualClock;
  let quotas: GatewayQuotas;

  beforeEach(() => {
    clock = new ManualClock(10_000);
    elapsedClock = new ManualClock(10_000);
    quotas = new GatewayQuotas({
      incarnation: "i1",
      windowMilliseconds: 5000,
      clock,
      elapsedClock,
    });
  });

  function elapse(milliseconds: number): void {
    clock.advance(milliseconds);
    elapsedClock.advance(milliseconds);
  }

  function answer(
    { number }: QuotaReport,
    rows: readonly QuotaAnswerRow[],
    options: { readonly term?: number; readonly age?: number } = {},
  ): boolean {
    const { term = 1, age = 0 } = options;
    return quotas.apply({
      term,
      number,
      confirmedAgeMilliseconds: age,
      needsWhole: false,
      rows,
    });
  }

  function lend(allowance: number): void {
    answer(quotas.report(true), [["works", allowance]]);
  }

  function sendAll(): number {
    let count = 0;
    for (let use = quotas.take("works"); use; use = quotas.take("works")) {
      use.send();
      count += 1;
    }
    return count;
  }

  it("admits nothing before it was lent anything", () => {
    expect(quotas.take("works")).toBeUndefined();
  });

  it("admits as many requests in a window as it was lent", () => {
    lend(5);
    expect(sendAll()).toBe(5);
    elapse(2500);
    expect(sendAll()).toBe(0);
    lend(5);
    elapse(2700);
    expect(sendAll()).toBe(5);
  });

  it("counts a request that waits until a window after it was sent", () => {
    lend(1);
    const use = quotas.take("works")!;
    for (let at = 0; at < 4; at += 1) {
      elapse(2000);
      lend(1);
      expect(quotas.take("works")).toBeUndefined();
      if (at === 1) use.send();
    }
  });

  // The other gateway sends it at a time that is not known here.
  it("counts a relayed request until a window after it has ended", () => {
    lend(1);
    const use = quotas.take("works")!;
    expect(use.relay()).toBe(true);
    expect(use.leftMilliseconds).toBe(leaseMilliseconds);
    elapse(3000);
    lend(1);
    use.release();
    elapse(3500);
    lend(1);
    expect(quotas.take("works")).toBeUndefined();
    elapse(1700);
    lend(1);
    expect(quotas.take("works")).toBeDefined();
  });

  // A repeat at another gateway must not be rejected as one that never ran.
  it("may be repeated after its lease once it was sent", () => {
    lend(1);
    const use = quotas.take("works")!;
    use.send();
    elapse(4000);
    expect(use.isValid).toBe(true);
    expect(use.leftMilliseconds).toBe(Infinity);
  });

  it("admits another request for one that was not sent", () => {
    lend(1);
    quotas.take("works")!.release();
    expect(quotas.take("works")).toBeDefined();
  });

  // The leader lends the same allowance to another gateway once it has lapsed.
  it("counts its lease from the report and the age of the confirmation", () => {
    const report = quotas.report(true);
    elapse(1000);
    answer(report, [["works", 5]], { age: 500 });
    elapse(2400);
    expect(quotas.hasLease).toBe(true);
    elapse(30);
    expect(quotas.hasLease).toBe(false);
  });

  it("does not send what was admitted under a lease that has ended", () => {
    lend(5);
    const use = quotas.take("works")!;
    elapsedClock.advance(4000);
    lend(5);
    expect(use.send()).toBe(false);
    expect(quotas.state("works").count).toBe(0);
  });

  it("ignores answers that are late, older or of an earlier leader", () => {
    const first = quotas.report(true);
    const second = quotas.report(false);
    expect(answer(second, [["works", 3]], { term: 2 })).toBe(true);
    expect(answer(first, [["works", 9]], { term: 2 })).toBe(false);
    const third = quotas.report(false);
    expect(answer(third, [["works", 9]], { term: 1 })).toBe(false);
    const fourth = quotas.report(false);
    quotas.report(true);
    expect(answer(fourth, [["works", 9]], { term: 2 })).toBe(false);
    const late = quotas.report(false);
    elapse(4000);
    expect(answer(late, [["works", 9]], { term: 2 })).toBe(false);
    expect(quotas.take("works")).toBeUndefined();
  });

  it("keeps to a lowered allowance, and reports what is still in use", () => {
    lend(10);
    for (let at = 0; at < 6; at += 1) quotas.take("works")!.send();
    answer(quotas.report(false), [["works", 2]]);
    expect(quotas.take("works")).toBeUndefined();
    expect(quotas.report(false).rows).toEqual([["works", 6, 6]]);
    elapse(3000);
    answer(quotas.report(false), []);
    elapse(2200);
    expect(quotas.report(false).rows).toEqual([["works", 2, 0]]);
    expect(sendAll()).toBe(2);
  });

  it("repeats a row until a report that holds it was answered", () => {
    lend(3);
    quotas.report(false);
    const repeated = quotas.report(false);
    expect(repeated.rows).toEqual([["works", 3, 0]]);
    answer(repeated, []);
    expect(quotas.report(false).rows).toEqual([]);
  });

  it("gives up an allowance that nobody used for a minute", () => {
    quotas.recordDemand("works");
    lend(3);
    for (let at = 0; at < 30; at += 1) {
      elapse(2000);
      answer(quotas.report(false), []);
    }
    expect(quotas.state("works").allowance).toBe(3);
    elapse(1000);
    expect(quotas.report(false).rows).toEqual([["works", 0, 0]]);
  });

  // Memory must not grow with all workspaces that were ever active.
  it("forgets a workspace that is idle and has no allowance", () => {
    lend(3);
    answer(quotas.report(false), [["works", 0]]);
    answer(quotas.report(false), []);
    quotas.report(false);
    expect(quotas.size).toBe(0);
  });
});
