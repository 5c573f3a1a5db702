import { describe, expect, it } from "vitest";
import { CallerDeadlines } from "./caller_deadlines.ts";
import type { CallerAge } from "./caller_deadlines.ts";

/** Records the deadlines of requests for one route. */
function record(deadlines: CallerDeadlines, count: number, deadline: number) {
  for (let at = 0; at < count; at += 1) deadlines.record("r", deadline);
}

function age(milliseconds: number): CallerAge {
  return { milliseconds, isKnown: true };
}

describe("CallerDeadlines", () => {
  it("tells what has passed of the deadline that most callers have", () => {
    const deadlines = new CallerDeadlines();
    record(deadlines, 40, 4000);
    expect(deadlines.record("r", 4000)).toEqual(age(0));
    expect(deadlines.record("r", 3100)).toEqual(age(900));
  });

  it("tells nothing of the first requests", () => {
    const deadlines = new CallerDeadlines();
    record(deadlines, 5, 4000);
    expect(deadlines.record("r", 3100).isKnown).toBe(false);
  });

  // Guards against requests that count as old because others may wait longer.
  it("tells nothing where callers begin with different deadlines", () => {
    const deadlines = new CallerDeadlines();
    for (let at = 0; at < 100; at += 1) {
      deadlines.record("r", 1000 + (at % 5) * 700);
    }
    expect(deadlines.record("r", 1700).isKnown).toBe(false);
  });

  // Guards against one caller with a very long deadline.
  it("tells nothing for a time after a longer deadline appears", () => {
    const deadlines = new CallerDeadlines();
    record(deadlines, 100, 4000);
    deadlines.record("r", 60_000);
    expect(deadlines.record("r", 4000).isKnown).toBe(false);
    record(deadlines, 100, 4000);
    expect(deadlines.record("r", 3100).isKnown).toBe(false);
  });

  // Guards against callers that lose their age in the overload that refuses them.
  it("still tells it while most requests are those of callers that return", () => {
    const deadlines = new CallerDeadlines();
    record(deadlines, 100, 4000);
    for (let at = 0; at < 300; at += 1) {
      deadlines.record("r", at % 3 === 0 ? 4000 : 1000 + (at * 37) % 2500);
    }
    expect(deadlines.record("r", 3100)).toEqual(age(900));
  });

  // Guards against ages that stay unknown for good after one odd request.
  it("forgets a longer deadline that one caller had", () => {
    const deadlines = new CallerDeadlines();
    record(deadlines, 100, 4000);
    deadlines.record("r", 60_000);
    record(deadlines, 400, 4000);
    expect(deadlines.record("r", 3100)).toEqual(age(900));
  });

  it("keeps routes apart", () => {
    const deadlines = new CallerDeadlines();
    record(deadlines, 40, 4000);
    expect(deadlines.record("other", 3100).isKnown).toBe(false);
  });
});
