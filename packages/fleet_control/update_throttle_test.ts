import { describe, expect, it } from "vitest";
import { UpdateThrottle, watchHoldMilliseconds } from "./update_throttle.ts";

/**
 * Returns the number of responses to gateways while 222 targets register within
 * two seconds.
 */
function countResponses(gateways: number): number {
  const throttle = new UpdateThrottle();
  let [count, dueAt] = [0, Infinity];
  for (let now = 0; now < 3000; now += 1) {
    if (now < 2000 && now % 9 === 0 && dueAt === Infinity) {
      dueAt = now + throttle.delayMilliseconds(now, gateways);
    }
    if (now < dueAt) continue;
    throttle.recordUpdate(now);
    dueAt = Infinity;
    count += gateways;
  }
  return count;
}

describe("UpdateThrottle", () => {
  it("limits the responses of a leader for any number of gateways", () => {
    for (const gateways of [9, 72, 300, 930]) {
      expect(countResponses(gateways)).toBeLessThanOrEqual(1000 + gateways * 2);
    }
  });

  it("holds watches of many gateways longer, but not so long that these count as inactive", () => {
    expect(watchHoldMilliseconds(9)).toBe(600);
    expect(watchHoldMilliseconds(195)).toBe(1200);
    expect(watchHoldMilliseconds(930)).toBe(1200);
    expect(watchHoldMilliseconds(Infinity)).toBe(1200);
  });

  it("sends a single change immediately", () => {
    const throttle = new UpdateThrottle();
    expect(throttle.delayMilliseconds(0, 930)).toBe(0);
    throttle.recordUpdate(0);
    expect(throttle.delayMilliseconds(5, 9)).toBe(95);
    expect(throttle.delayMilliseconds(2000, 930)).toBe(0);
  });
});
