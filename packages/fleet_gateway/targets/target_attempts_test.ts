import { beforeEach, describe, expect, it } from "vitest";
import { TargetAttempts } from "./target_attempts.ts";

describe("TargetAttempts", () => {
  let attempts: TargetAttempts;

  beforeEach(() => {
    attempts = new TargetAttempts({ maximumTargets: 2 });
  });

  function next() {
    const { tried, only } = attempts.next;
    return { tried: [...tried], only: only && [...only] };
  }

  it("go to targets that were not tried, up to the maximum", () => {
    attempts.recordSend("a");
    expect(next()).toEqual({ tried: ["a"], only: null });
    attempts.recordSend("b");
    expect(next()).toEqual({ tried: [], only: ["a", "b"] });
  });

  // Guards against a refusal while other targets serve.
  it("do not count a target that was not reached", () => {
    for (const name of ["a", "b"]) {
      attempts.recordSend(name);
      attempts.recordUnreached(name);
    }
    attempts.recordSend("c");
    expect(next()).toEqual({ tried: ["c", "a", "b"], only: null });
    attempts.recordSend("d");
    expect(next()).toEqual({ tried: [], only: ["c", "d"] });
  });

  it("may return to a target that was not reached", () => {
    attempts.recordSend("a");
    attempts.recordUnreached("a");
    expect(attempts.retryUnreached()).toBe(true);
    expect(next()).toEqual({ tried: [], only: null });
    expect(attempts.retryUnreached()).toBe(false);
  });

  it("count targets that another gateway has reached", () => {
    attempts = new TargetAttempts({ maximumTargets: 2, reached: ["a", "b"] });
    expect(next()).toEqual({ tried: [], only: ["a", "b"] });
  });
});
