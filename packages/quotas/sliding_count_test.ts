import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { SlidingCount } from "./sliding_count.ts";

describe("SlidingCount", () => {
  // An event that is forgotten early lets too many requests into a window.
  it("counts every event for at least the window, and little longer", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 200 }),
        (gaps) => {
          const count = new SlidingCount(1000);
          const times: number[] = [];
          let now = 0;
          for (const gap of gaps) {
            now += gap;
            count.add(now);
            times.push(now);
            const within = (milliseconds: number) =>
              times.filter((at) => at > now - milliseconds).length;
            expect(count.total(now)).toBeGreaterThanOrEqual(within(1000));
            expect(count.total(now)).toBeLessThanOrEqual(within(1073));
          }
        },
      ),
    );
  });

  it("tells when events leave the window", () => {
    const count = new SlidingCount(1000);
    count.add(0);
    count.add(500);
    expect(count.millisecondsUntilFreed(1, 600)).toBeCloseTo(472);
    expect(count.millisecondsUntilFreed(2, 600)).toBeCloseTo(972);
    expect(count.millisecondsUntilFreed(3, 600)).toBe(1000);
  });
});
