import { beforeEach, describe, expect, it } from "vitest";
import { boundOf } from "./borrowers.ts";
import type { BoundRow } from "./borrowers.ts";
import { QuotaLender } from "./quota_lender.ts";
import type { QuotaLenderOptions } from "./quota_lender.ts";
import type { QuotaReport, QuotaReportRow } from "./messages.ts";

const now = 1000;
/** No bound below the total, for the rules that hold without one. */
const recordedBounds = new Map([["works", 100]]);

describe("QuotaLender", () => {
  let total: number;
  let added: string[];
  let removed: string[];
  let recorder: QuotaLenderOptions["recorder"];
  let lender: QuotaLender;

  beforeEach(() => {
    total = 100;
    added = [];
    removed = [];
    recorder = {
      committed: new Map(),
      mayLend: () => true,
      bound: (_id, _workspace, total) => total,
      raise() {},
      reduce() {},
      add: (id) => added.push(id),
      remove: (id) => removed.push(id),
    };
    lender = createLender(0);
  });

  function createLender(
    lentBefore: number,
    recorded: readonly string[] = [],
  ): QuotaLender {
    return new QuotaLender({
      term: 3,
      windowMilliseconds: 5000,
      startedAt: now,
      lentBefore: () => lentBefore,
      total: () => total,
      recorder: {
        ...recorder,
        ...(recorded.length > 0 && {
          committed: new Map(recorded.map((id) => [id, recordedBounds])),
        }),
      },
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
      // Another borrower of the former leader is silent.
      lender = createLender(100, ["a/i1", "b/i1", "silent/i1"]);
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

  describe("after another leader with recorded borrowers", () => {
    beforeEach(() => {
      lender = createLender(100, ["a/i1", "b/i1"]);
    });

    /** A gateway reports, applies the answer, and reports again. */
    function settle(gateway: string, row: QuotaReportRow): void {
      exchange(gateway, report(1, [row]));
      exchange(gateway, report(2, [], { applied: 1 }));
    }

    it("lends the rest once all of them have applied an answer", () => {
      settle("a", ["works", 40, 40]);
      expect(lender.isSettled).toBe(false);
      settle("b", ["works", 10, 10]);
      expect(lender.isSettled).toBe(true);
      expect(exchange("a", report(3, [["works", 40, 60]])).rows)
        .toEqual([["works", 75]]);
    });

    // Failure: a gateway that reports here and returns to the former leader
    // accepts what that one lends, until it has applied an answer of this one.
    it("lends nothing else while one has reported without an answer", () => {
      settle("a", ["works", 40, 60]);
      exchange("b", report(1, [["works", 10, 10]]));
      exchange("b", report(2, [], { applied: 0 }));
      expect(exchange("a", report(3, [])).rows).toEqual([]);
      expect(lender.outstanding("works")).toBe(100);
    });

    // Failure: an answer of the former leader would be taken for one of this.
    it("does not count the answer to a report to another leader", () => {
      settle("a", ["works", 40, 60]);
      exchange(
        "b",
        report(3, [["works", 10, 10]], {
          applied: 2,
          isWhole: true,
        }),
      );
      expect(lender.isSettled).toBe(false);
    });

    // Failure: what it lent before the restart is still in use.
    it("does not count the next life of a gateway that restarted", () => {
      settle("a", ["works", 40, 60]);
      exchange("b", report(1, [], { incarnation: "i2" }));
      exchange("b", report(2, [], { incarnation: "i2" }));
      expect(exchange("a", report(3, [])).rows).toEqual([]);
      lender.expire(now + 9000);
      expect(lender.isSettled).toBe(true);
    });

    it("lends at once if no borrower is recorded", () => {
      lender = createLender(100);
      expect(exchange("a", report(1, [["works", 0, 20]])).rows)
        .toEqual([["works", 50]]);
    });
  });

  describe("with borrowers that are not recorded", () => {
    beforeEach(() => {
      recorder = { ...recorder, mayLend: (id) => id === "a/i1" };
      lender = createLender(0, ["a/i1"]);
    });

    // Failure: the next leader would not know of the loan.
    it("lends nothing to them, and renews nothing", () => {
      expect(exchange("b", report(1, [["works", 0, 20]])).rows).toEqual([]);
      expect(exchange("c", report(1, [["works", 7, 20]])).rows)
        .toEqual([["works", 0]]);
    });

    it("asks for the record of those that report, and the removal of others", () => {
      exchange("b", report(1, [["works", 0, 20]]));
      expect(added).toEqual(["b/i1"]);
      lender.tick(now + 8999);
      expect(removed).toEqual([]);
      lender.tick(now + 9000);
      expect(removed).toEqual(["a/i1"]);
    });
  });

  describe("with bounds of borrowers", () => {
    let raises: [string, string, number][];
    let reductions: BoundRow[];
    let bounds: Map<string, number>;

    beforeEach(() => {
      raises = [];
      reductions = [];
      bounds = new Map();
      recorder = {
        ...recorder,
        bound: (id) => Math.floor(boundOf(total, bounds.get(id))),
        raise: (...raise) => raises.push(raise),
        reduce: (row) => reductions.push(row),
      };
      lender = createLender(0);
    });

    function createSuccessor(recorded: Record<string, number>): void {
      recorder = {
        ...recorder,
        committed: new Map(
          Object.entries(recorded).map(([id, bound]) => [
            id,
            new Map(bound > 0 ? [["works", bound]] : []),
          ]),
        ),
      };
      lender = new QuotaLender({
        term: 4,
        windowMilliseconds: 5000,
        startedAt: now,
        lentBefore: () => total,
        total: () => total,
        recorder,
      });
    }

    // Failure: the next leader would count less than is held.
    it("lends no more than the bound, and asks for a higher one", () => {
      expect(exchange("a", report(1, [["works", 0, 30]])).rows)
        .toEqual([["works", 12]]);
      expect(raises).toEqual([["a/i1", "works", 50]]);
      bounds.set("a/i1", 50);
      expect(exchange("a", report(2, [["works", 12, 30]])).rows)
        .toEqual([["works", 50]]);
    });

    it("asks for none for what is lent without a demand", () => {
      exchange("a", report(1, [["works", 0, 3]]));
      expect(raises).toEqual([]);
    });

    // Failure: one lost gateway ended all lending for lease and window.
    it("counts no more for a silent borrower than its bound", () => {
      createSuccessor({ "a/i1": 0, "silent/i1": 0 });
      exchange("a", report(1, [["works", 12, 12]]));
      expect(lender.outstanding("works")).toBe(12 + 13);
      createSuccessor({ "a/i1": 0, "silent/i1": 50 });
      exchange("a", report(1, [["works", 12, 12]]));
      expect(lender.outstanding("works")).toBe(12 + 51);
    });

    it("counts no more than the total for all silent borrowers", () => {
      const silent = Array.from({ length: 20 }, (_, at) => [`s${at}/i1`, 0]);
      createSuccessor({ "a/i1": 0, ...Object.fromEntries(silent) });
      exchange("a", report(1, [["works", 10, 10]]));
      expect(lender.outstanding("works")).toBe(100);
    });

    it("lowers a bound after 30 s in which a quarter of it was not held", () => {
      recorder = {
        ...recorder,
        committed: new Map([["a/i1", new Map([["works", 100]])]]),
      };
      lender = createLender(0);
      for (let second = 0; second < 29; second += 1) {
        lender.tick(now + 10_000 + second * 1000);
      }
      expect(reductions).toEqual([]);
      lender.tick(now + 40_000);
      expect(reductions).toEqual([["a/i1", "works", 0]]);
    });
  });
});
