import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import type { QuotaAnswer } from "./messages.ts";
import { QuotaAdmissions } from "./quota_admissions.ts";
import type { QuotaDecision } from "./quota_admissions.ts";

describe("QuotaAdmissions", () => {
  let clock: ManualClock;
  let admissions: QuotaAdmissions;
  let decisions: (readonly [id: string, kind: string])[];

  beforeEach(() => {
    clock = new ManualClock(1000);
    admissions = new QuotaAdmissions({
      incarnation: "i1",
      windowMilliseconds: 5000,
      clock,
      elapsedClock: clock,
    });
    decisions = [];
  });

  function admit(id: string, workspace = "works"): () => void {
    return admissions.admit(workspace, (decision: QuotaDecision) => {
      if (decision.kind === "admitted") decision.use.send();
      const { kind } = decision;
      decisions.push([id, kind === "admitted" ? kind : decision.reason]);
    });
  }

  function answerCall(allowance: number): void {
    const { number } = admissions.startCall();
    admissions.endCall(createAnswer(number, allowance));
  }

  function createAnswer(number: number, allowance: number): QuotaAnswer {
    return {
      term: 1,
      number,
      confirmedAgeMilliseconds: 0,
      needsWhole: false,
      rows: [["works", allowance]],
    };
  }

  it("admits waiting requests in the order of their arrival", () => {
    for (const id of ["1", "2", "3"]) admit(id);
    expect(decisions).toEqual([]);
    expect(admissions.isCallDue).toBe(true);
    answerCall(2);
    expect(decisions.map(([id]) => id)).toEqual(["1", "2"]);
    expect(admissions.waiting).toBe(1);
  });

  it("rejects a request after 250 ms", () => {
    answerCall(0);
    admit("1");
    clock.advance(249);
    admissions.expire();
    expect(decisions).toEqual([]);
    clock.advance(1);
    admissions.expire();
    expect(decisions).toEqual([["1", "the limit of the workspace is reached"]]);
  });

  it("rejects with another reason while there is no lease", () => {
    admit("1");
    clock.advance(250);
    admissions.expire();
    expect(decisions).toEqual([["1", "no lease of allowances"]]);
  });

  // Over the limit, requests must not wait for what cannot be lent.
  it("rejects at once after the leader has denied twice", () => {
    admit("1");
    answerCall(0);
    expect(decisions).toEqual([]);
    clock.advance(100);
    answerCall(0);
    expect(decisions.map(([id]) => id)).toEqual(["1"]);
    admit("2");
    expect(decisions.map(([id]) => id)).toEqual(["1", "2"]);
  });

  // A gateway that has just been served must not be treated as denied.
  it("asks again after an answer that sufficed for the waiting requests", () => {
    for (const allowance of [1, 2, 3]) {
      admit(`${allowance}`);
      answerCall(allowance);
      clock.advance(100);
    }
    expect(decisions.map(([, kind]) => kind))
      .toEqual(["admitted", "admitted", "admitted"]);
  });

  it("lets requests wait again some time after a denial", () => {
    admit("1");
    answerCall(0);
    clock.advance(100);
    answerCall(0);
    clock.advance(1000);
    admit("2");
    answerCall(1);
    expect(decisions.at(-1)).toEqual(["2", "admitted"]);
  });

  it("calls at most ten times a second", () => {
    let calls = 0;
    for (let at = 0; at < 1000; at += 5) {
      admit(`${at}`, `works-${at % 50}`);
      if (admissions.isCallDue) {
        calls += 1;
        answerCall(0);
      }
      admissions.expire();
      clock.advance(5);
    }
    expect(calls).toBeLessThanOrEqual(10);
  });

  it("bounds the number of requests that wait", () => {
    for (let at = 0; at < 1000; at += 1) admit(`${at}`);
    expect(admissions.waiting).toBeLessThan(1000);
    expect(decisions.length + admissions.waiting).toBe(1000);
  });

  it("forgets a request whose caller has left", () => {
    const leave = admit("1");
    leave();
    answerCall(1);
    expect(decisions).toEqual([]);
    admit("2");
    expect(decisions).toEqual([["2", "admitted"]]);
  });

  it("tells rejected requests different times, as capacity returns", () => {
    const times: number[] = [];
    answerCall(4);
    for (let at = 0; at < 4; at += 1) {
      admit(`${at}`);
      clock.advance(500);
    }
    for (let at = 0; at < 3; at += 1) {
      admissions.admit("works", (decision) => {
        if (decision.kind === "rejected") {
          times.push(decision.retryAfterMilliseconds);
        }
      });
    }
    clock.advance(250);
    admissions.expire();
    expect(times.length).toBe(3);
    expect(new Set(times).size).toBe(3);
  });
});
