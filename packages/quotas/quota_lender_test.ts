import { beforeEach, describe, expect, it } from "vitest";
import { QuotaLender } from "./quota_lender.ts";
import type { QuotaReport, QuotaReportRow } from "./messages.ts";

const now = 1000;

describe("QuotaLender", () => {
  let total: number;
  let lender: QuotaLender;

  beforeEach(() => {
    total = 100;
    lender = createLender(0);
  });

  function createLender(lentBefore: number): QuotaLender {
    return new QuotaLender({
      term: 3,
      windowMilliseconds: 5000,
      startedAt: now,
      lentBefore: () => lentBefore,
      total: () => total,
    });
  }

  function report(
    number: number,
    rows: readonly QuotaReportRow[],
    options: Partial<QuotaReport> = {},
  ): QuotaReport {
    return {
      number,
      incarnation: "i1",
      applied: number - 1,
      isWhole: number === 1,
      rows,
      ...options,
    };
  }

  function exchange(gateway: string, sent: QuotaReport, at = now) {
    lender.record(gateway, sent, at);
    return lender.answer(gateway, sent, {
      now: at,
      confirmedAgeMilliseconds: 0,
    });
  }

  it("lends the demand and headroom while there is room", () => {
    expect(exchange("a", report(1, [["works", 0, 20]])).rows)
      .toEqual([["works", 50]]);
    expect(exchange("b", report(1, [["works", 0, 20]])).rows)
      .toEqual([["works", 25]]);
  });

  it("never lends more than the total", () => {
    for (const gateway of ["a", "b", "c", "d"]) {
      exchange(gateway, report(1, [["works", 0, 90]]));
      expect(lender.outstanding("works")).toBeLessThanOrEqual(100);
    }
  });

  it("asks for returns on behalf of a gateway that is short", () => {
    exchange("a", report(1, [["works", 0, 80]]));
    // Its watch is held, so that it has not been told to return anything.
    lender.record("a", report(2, [["works", 100, 10]]), now);
    expect(exchange("b", report(1, [["works", 0, 50]])).rows).toEqual([]);
    expect([...lender.takeDebtors()]).toEqual(["a"]);
    const [[, allowance]] = exchange("a", report(3, [["works", 100, 10]]))
      .rows as [[string, number]];
    expect(allowance).toBeLessThan(30);
    exchange("a", report(4, [["works", allowance, 10]]));
    const [[, lent]] = exchange("b", report(2, [["works", 0, 50]]))
      .rows as [[string, number]];
    expect(lent).toBeGreaterThanOrEqual(50);
  });

  it("ignores reports that are older than another", () => {
    exchange("a", report(1, [["works", 0, 80]]));
    exchange("a", report(3, [["works", 100, 80]]));
    lender.record("a", report(2, [["works", 0, 0]]), now);
    expect(lender.outstanding("works")).toBe(100);
  });

  it("asks a gateway that it does not know for a whole report", () => {
    const answer = exchange("a", report(7, [["works", 5, 5]]));
    expect(answer).toMatchObject({ needsWhole: true, rows: [] });
  });

  it("counts loans until lease and window have passed since its last answer", () => {
    exchange("a", report(1, [["works", 0, 80]]));
    exchange("a", report(2, []), now + 500);
    lender.expire(now + 9499);
    expect(lender.outstanding("works")).toBe(100);
    lender.expire(now + 9500);
    expect(lender.outstanding("works")).toBe(0);
    expect(lender.workspaceCount).toBe(0);
  });

  it("counts loans of both lives of a gateway that restarted", () => {
    exchange("a", report(1, [["works", 0, 60]]));
    const held = lender.outstanding("works");
    exchange("a", report(1, [["works", 0, 60]], { incarnation: "i2" }));
    expect(held).toBeGreaterThan(60);
    expect(lender.outstanding("works")).toBeLessThanOrEqual(100);
  });

  it("lowers allowances at once if the total falls", () => {
    exchange("a", report(1, [["works", 0, 40]]));
    exchange("b", report(1, [["works", 0, 40]]));
    total = 20;
    const answers = ["a", "b"].map((gateway) =>
      exchange(gateway, report(2, [["works", 50, 40]])).rows[0]![1]
    );
    expect(answers).toEqual([10, 10]);
  });

  describe("after another leader", () => {
    beforeEach(() => {
      lender = createLender(100);
    });

    it("renews what is reported and lends nothing else", () => {
      expect(exchange("a", report(1, [["works", 40, 60]])).rows).toEqual([]);
      expect(lender.outstanding("works")).toBe(100);
    });

    it("lends what a gateway gave up since its first report", () => {
      exchange("a", report(1, [["works", 40, 0]]));
      exchange("a", report(2, [["works", 10, 0]]));
      expect(exchange("b", report(1, [["works", 0, 60]])).rows)
        .toEqual([["works", 30]]);
    });

    // The former leader may have lent it out, if it still answered others.
    it("does not lend what a gateway gave up while it watched another VM", () => {
      exchange("a", report(1, [["works", 40, 0]]));
      exchange("a", report(5, [["works", 10, 0]], { isWhole: true }));
      expect(exchange("b", report(1, [["works", 0, 60]])).rows).toEqual([]);
    });

    it("lends all once what was lent before has lapsed", () => {
      expect(exchange("a", report(1, [["works", 0, 80]])).rows).toEqual([]);
      exchange("a", report(2, []), now + 500);
      const later = exchange("a", report(3, []), now + 9000);
      expect(later.rows).toEqual([["works", 100]]);
    });
  });
});
