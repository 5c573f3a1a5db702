import { describe, expect, it } from "vitest";
import { CloseStep, nextCloseStep } from "./listener_connection.ts";
import type { ConnectionState } from "./listener_connection.ts";

// Guards against connections that a closing listener cuts, or waits for forever.
describe("nextCloseStep", () => {
  function stepOf(state: Partial<ConnectionState>): CloseStep {
    return nextCloseStep({
      isResponding: false,
      isRequestDue: false,
      silentMilliseconds: 0,
      endedMilliseconds: undefined,
      ...state,
    });
  }

  it("waits for a response, however long it takes", () => {
    const silentMilliseconds = 60_000;
    expect(stepOf({ isResponding: true, silentMilliseconds }))
      .toBe(CloseStep.wait);
  });

  it("waits for a request that is due, for a bounded time", () => {
    expect(stepOf({ isRequestDue: true, silentMilliseconds: 400 }))
      .toBe(CloseStep.wait);
    expect(stepOf({ isRequestDue: true, silentMilliseconds: 600 }))
      .toBe(CloseStep.end);
  });

  it("ends an idle connection at once", () => {
    expect(stepOf({})).toBe(CloseStep.end);
  });

  it("lets the peer close an ended connection, for a bounded time", () => {
    expect(stepOf({ endedMilliseconds: 200 })).toBe(CloseStep.wait);
    expect(stepOf({ endedMilliseconds: 400, isRequestDue: true }))
      .toBe(CloseStep.destroy);
  });
});
