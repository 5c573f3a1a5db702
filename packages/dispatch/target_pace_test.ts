import { describe, expect, it } from "vitest";
import { PaceDecision, PaceReason, TargetPace } from "./target_pace.ts";
import type { PaceChange } from "./target_pace.ts";
import { ExchangeEnd } from "./exchange_end.ts";

const slots = 4;
const meanMilliseconds = 250;

/** A pace and the changes of its bound. */
function start(phase = 0, reason: PaceReason = PaceReason.appeared) {
  const changes: PaceChange[] = [];
  const pace = new TargetPace({
    now: 0,
    reason,
    slots,
    random: () => phase,
    onChange: (change) => void changes.push(change),
  });
  return { pace, changes };
}

function decide(
  pace: TargetPace,
  situation: { now?: number; inFlight?: number; choosers?: number },
) {
  return pace.decide({
    now: 0,
    inFlight: 0,
    choosers: 1,
    meanMilliseconds,
    ...situation,
  });
}

function end(
  pace: TargetPace,
  kind: ExchangeEnd = ExchangeEnd.answered,
  { now = 0, durationMilliseconds = 250 } = {},
) {
  pace.recordEnd(kind, {
    now,
    durationMilliseconds,
    expectedMilliseconds: 250,
  });
}

describe("the pace of a target with one chooser", () => {
  it("allows one request at a time until the first response", () => {
    const { pace } = start();
    expect(decide(pace, { inFlight: 0 })).toBe(PaceDecision.open);
    expect(decide(pace, { inFlight: 1 })).toBe(PaceDecision.closed);
    // Without a response, time alone must not raise the bound.
    expect(decide(pace, { now: 60_000, inFlight: 1 }))
      .toBe(PaceDecision.closed);
  });

  it("grows with responses in time and ends at the slots", () => {
    const { pace, changes } = start();
    for (const bound of [2, 3, 4]) {
      end(pace);
      expect(pace.bound).toBe(bound);
    }
    expect(pace.isOver).toBe(true);
    expect(decide(pace, { inFlight: 10 })).toBe(PaceDecision.open);
    expect(changes.map(({ before, after }) => [before, after])).toEqual([
      [null, 1],
      [1, 2],
      [2, 3],
      [3, null],
    ]);
  });

  it("shrinks with rejections, slow responses and breaks", () => {
    const { pace, changes } = start();
    end(pace);
    end(pace);
    expect(pace.bound).toBe(3);
    end(pace, ExchangeEnd.answered, { durationMilliseconds: 1000 });
    expect(pace.bound).toBe(2);
    end(pace, ExchangeEnd.rejected);
    expect(pace.bound).toBe(1);
    end(pace);
    end(pace, ExchangeEnd.broken);
    expect(pace.bound).toBe(1);
    expect(changes.map(({ reason }) => reason)).toEqual([
      PaceReason.appeared,
      PaceReason.inTime,
      PaceReason.inTime,
      PaceReason.slow,
      PaceReason.rejected,
      PaceReason.inTime,
      PaceReason.broken,
    ]);
  });

  it("tries a target again that has had no request for a second", () => {
    // One that was slow at first would otherwise not be chosen by its cost, and
    // nothing would show that it has recovered.
    const { pace } = start();
    expect(decide(pace, { now: 999 })).toBe(PaceDecision.open);
    expect(decide(pace, { now: 1000 })).toBe(PaceDecision.due);
    expect(decide(pace, { now: 1000, inFlight: 1 })).toBe(PaceDecision.closed);
    pace.recordSend();
    expect(decide(pace, { now: 1001 })).toBe(PaceDecision.open);
    expect(decide(pace, { now: 2001 })).toBe(PaceDecision.due);
  });

  it("does not try a target again whose newest exchange broke", () => {
    const { pace } = start();
    end(pace, ExchangeEnd.broken);
    expect(decide(pace, { now: 5000 })).toBe(PaceDecision.open);
  });

  it("does not end while responses take longer than usual in the service", () => {
    const { pace } = start();
    decide(pace, {});
    const endSlow = (now: number) =>
      pace.recordEnd(ExchangeEnd.answered, {
        now,
        // As expected of this target, which is known to be slow.
        durationMilliseconds: 1000,
        expectedMilliseconds: 1000,
      });
    for (const now of [1, 2, 3, 4]) endSlow(now);
    expect(pace.bound).toBe(slots);
    expect(pace.isOver).toBe(false);
    end(pace, ExchangeEnd.answered, { now: 5 });
    expect(pace.isOver).toBe(true);
  });

  it("ends for a target that stays slow", () => {
    const { pace } = start();
    decide(pace, {});
    for (const now of [1, 2, 3, 10_000]) {
      pace.recordEnd(ExchangeEnd.answered, {
        now,
        durationMilliseconds: 1000,
        expectedMilliseconds: 1000,
      });
    }
    expect(pace.isOver).toBe(true);
  });

  it("does not change with error responses and abandoned requests", () => {
    const { pace } = start();
    end(pace);
    end(pace, ExchangeEnd.failed);
    end(pace, ExchangeEnd.abandoned);
    expect(pace.bound).toBe(2);
  });

  it("names the inputs of each change", () => {
    const { pace, changes } = start();
    end(pace, ExchangeEnd.answered, { now: 260, durationMilliseconds: 255 });
    expect(changes.at(-1)).toEqual({
      before: 1,
      after: 2,
      reason: PaceReason.inTime,
      ageMilliseconds: 260,
      durationMilliseconds: 255,
      expectedMilliseconds: 250,
    });
  });
});

describe("the pace of a target with many choosers", () => {
  const choosers = 88;

  it("does not let all of them send at the same moment", () => {
    // A service of six targets: every chooser has a request and finds the new
    // target idle. Without pacing, all 88 would be sent to its 4 slots.
    let due = 0;
    for (let index = 0; index < choosers; index += 1) {
      const { pace } = start(index / choosers);
      pace.recordReceived(1 / 6);
      if (decide(pace, { choosers }) === PaceDecision.due) due += 1;
    }
    // 88 requests, a sixth of them, and a quarter of that at a bound of one.
    expect(due).toBeLessThanOrEqual(4);
    expect(due).toBeGreaterThan(0);
  });

  it("sends the target its share once the bound equals the slots", () => {
    const { pace } = start(0.5);
    let sent = 0;
    decide(pace, { now: 250, choosers });
    decide(pace, { now: 500, choosers });
    decide(pace, { now: 750, choosers });
    expect(pace.bound).toBe(slots);
    for (let count = 0; count < 60; count += 1) {
      pace.recordReceived(1 / 6);
      if (decide(pace, { now: 751, choosers }) !== PaceDecision.due) continue;
      pace.recordSend();
      sent += 1;
    }
    expect(sent).toBe(10);
  });

  it("does not end before a response in time, however long it lasts", () => {
    const { pace } = start();
    for (let now = 0; now < 9000; now += 250) decide(pace, { now, choosers });
    expect(pace.isOver).toBe(false);
    end(pace, ExchangeEnd.answered, { now: 9000 });
    expect(pace.isOver).toBe(true);
  });

  it("ends without responses after ten seconds without bad news", () => {
    const { pace } = start();
    end(pace, ExchangeEnd.rejected, { now: 5000 });
    decide(pace, { now: 14_000, choosers });
    expect(pace.isOver).toBe(false);
    decide(pace, { now: 15_000, choosers });
    expect(pace.isOver).toBe(true);
  });

  it("allows one request at a time while the target does not respond", () => {
    const { pace } = start();
    for (let count = 0; count < 100; count += 1) pace.recordReceived(1);
    expect(decide(pace, { now: 5000, choosers })).toBe(PaceDecision.due);
    expect(decide(pace, { now: 5000, inFlight: 1, choosers }))
      .toBe(PaceDecision.closed);
  });

  it("serves requests that waited before the only target appeared", () => {
    // None is received after that, so only elapsed time makes them due.
    const { pace } = start(0.5);
    expect(decide(pace, { now: 10, choosers })).toBe(PaceDecision.closed);
    for (let now = 250; now <= 750; now += 250) decide(pace, { now, choosers });
    expect(decide(pace, { now: 3000, choosers })).toBe(PaceDecision.due);
  });

  it("works while the number of choosers is unknown", () => {
    const { pace } = start(0.9);
    expect(decide(pace, { now: 10, choosers: Infinity }))
      .toBe(PaceDecision.closed);
    pace.recordReceived(1);
    expect(decide(pace, { now: 10, choosers: Infinity }))
      .toBe(PaceDecision.due);
  });

  it("is not limited to a share after a break that few of them saw", () => {
    // Otherwise a request for the only target would wait after each reset.
    const { pace } = start(0, PaceReason.broken);
    expect(decide(pace, { choosers })).toBe(PaceDecision.open);
    expect(decide(pace, { choosers, inFlight: 1 })).toBe(PaceDecision.closed);
  });
});
