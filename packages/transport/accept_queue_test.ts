import { describe, expect, it } from "vitest";
import { nextQueueStep, QueueStep } from "./accept_queue.ts";
import type { QueueState } from "./accept_queue.ts";

const quiet: QueueState = {
  hasAccepted: false,
  turnMilliseconds: 0.05,
  quietMilliseconds: 60,
  elapsedMilliseconds: 60,
  maximumMilliseconds: 7000,
};

describe("nextQueueStep", () => {
  it("closes after a time without connections", () => {
    expect(nextQueueStep(quiet)).toBe(QueueStep.close);
  });

  // Guards against resets of callers that reconnect after their response.
  it("waits for callers that are about to reconnect", () => {
    const state = { ...quiet, quietMilliseconds: 50 };
    expect(nextQueueStep(state)).toBe(QueueStep.pause);
  });

  // Guards against resets of connections that were completed during a long turn.
  it("does not close in a long turn", () => {
    const state = { ...quiet, turnMilliseconds: 0.3 };
    expect(nextQueueStep(state)).toBe(QueueStep.look);
  });

  it("does not close in a turn that accepted a connection", () => {
    const state = { ...quiet, hasAccepted: true };
    expect(nextQueueStep(state)).toBe(QueueStep.look);
  });

  // Guards against closes that never come while callers connect steadily.
  it("closes once the queue is empty if it is never quiet", () => {
    const state = { ...quiet, quietMilliseconds: 1 };
    expect(nextQueueStep({ ...state, elapsedMilliseconds: 399 }))
      .toBe(QueueStep.pause);
    expect(nextQueueStep({ ...state, elapsedMilliseconds: 400 }))
      .toBe(QueueStep.close);
  });

  // Guards against stops that outlast their time on a machine whose turns are long.
  it("closes in a long turn after 100 ms without connections, or 500 ms", () => {
    const state = { ...quiet, turnMilliseconds: 20 };
    expect(nextQueueStep({ ...state, quietMilliseconds: 99 }))
      .toBe(QueueStep.look);
    expect(nextQueueStep({ ...state, quietMilliseconds: 100 }))
      .toBe(QueueStep.close);
    expect(nextQueueStep({ ...state, elapsedMilliseconds: 499 }))
      .toBe(QueueStep.look);
    expect(nextQueueStep({ ...state, elapsedMilliseconds: 500 }))
      .toBe(QueueStep.close);
  });

  // Guards against resets of a full queue, and against a stop that never ends.
  it("accepts what is in the queue for up to half a second", () => {
    const state = { ...quiet, hasAccepted: true, quietMilliseconds: 0 };
    expect(nextQueueStep({ ...state, elapsedMilliseconds: 499 }))
      .toBe(QueueStep.look);
    expect(nextQueueStep({ ...state, elapsedMilliseconds: 500 }))
      .toBe(QueueStep.close);
  });

  // Guards against requests that wait until no time is left to answer them.
  it("leaves two thirds of the time for the responses", () => {
    const short = { ...quiet, maximumMilliseconds: 150, quietMilliseconds: 1 };
    expect(nextQueueStep({ ...short, elapsedMilliseconds: 23 }))
      .toBe(QueueStep.pause);
    expect(nextQueueStep({ ...short, elapsedMilliseconds: 24.5 }))
      .toBe(QueueStep.close);
    const accepting = { ...short, hasAccepted: true };
    expect(nextQueueStep({ ...accepting, elapsedMilliseconds: 49 }))
      .toBe(QueueStep.look);
    expect(nextQueueStep({ ...accepting, elapsedMilliseconds: 50 }))
      .toBe(QueueStep.close);
    expect(nextQueueStep({ ...accepting, maximumMilliseconds: 0 }))
      .toBe(QueueStep.close);
  });
});
