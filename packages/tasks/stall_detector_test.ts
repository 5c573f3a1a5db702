import { describe, expect, it } from "vitest";
import { ManualClock } from "./clock.ts";
import { StallDetector } from "./stall_detector.ts";

const tickMilliseconds = 50;

/** A detector whose clocks the test advances. */
class Fixture {
  readonly clock = new ManualClock(1000);
  readonly stalls: number[] = [];
  timeOfDay = 1_700_000_000_000;
  readonly detector = new StallDetector({
    clock: this.clock,
    timeOfDay: () => this.timeOfDay,
    onStall: (milliseconds) => this.stalls.push(milliseconds),
  });

  pass(milliseconds: number): void {
    this.clock.advance(milliseconds);
    this.timeOfDay += milliseconds;
  }

  runFor(milliseconds: number): void {
    for (let at = 0; at < milliseconds; at += tickMilliseconds) {
      this.pass(tickMilliseconds);
      this.detector.observe();
    }
  }
}

describe("the stall detector", () => {
  it("reports no delay while the event loop runs", () => {
    const { detector, stalls, ...fixture } = createFixture();
    fixture.runFor(2000);
    expect(detector.readDelay()).toBe(0);
    expect(stalls).toEqual([]);
  });

  it("reports the whole stall to what is read first after it", () => {
    const { detector, stalls, ...fixture } = createFixture();
    fixture.runFor(200);
    fixture.pass(5000);
    expect(detector.readDelay()).toBe(5000);
    expect(stalls).toEqual([5000]);
  });

  it("reports the stall for as long as messages of it may be unread", () => {
    const { detector, ...fixture } = createFixture();
    fixture.pass(5000);
    fixture.runFor(300);
    expect(detector.readDelay()).toBe(5300);
    fixture.runFor(300);
    expect(detector.readDelay()).toBe(0);
  });

  it("adds stalls that follow each other", () => {
    const { detector, ...fixture } = createFixture();
    fixture.pass(2000);
    fixture.runFor(100);
    fixture.pass(1000);
    expect(detector.readDelay()).toBe(3100);
  });

  // The monotonic clock stands still while a VM is suspended.
  it("counts a suspension that only the time of day shows", () => {
    const { detector, ...fixture } = createFixture();
    const before = detector.observe();
    fixture.sleep(4000);
    expect(detector.readDelay()).toBe(4000);
    expect(detector.observe() - before).toBe(4000);
  });

  it("ignores a time of day that is set back or drifts", () => {
    const { detector, stalls, ...fixture } = createFixture();
    const before = detector.observe();
    fixture.pass(tickMilliseconds);
    fixture.sleep(-3000);
    expect(detector.readDelay()).toBe(0);
    for (let count = 0; count < 100; count += 1) {
      fixture.pass(tickMilliseconds);
      fixture.sleep(1);
      detector.observe();
    }
    expect(stalls).toEqual([]);
    expect(detector.observe() - before).toBe(101 * tickMilliseconds);
  });
});

function createFixture() {
  const fixture = new Fixture();
  return {
    detector: fixture.detector,
    stalls: fixture.stalls,
    pass: (milliseconds: number) => fixture.pass(milliseconds),
    runFor: (milliseconds: number) => fixture.runFor(milliseconds),
    /** Advances the time of day alone. */
    sleep: (milliseconds: number) => {
      fixture.timeOfDay += milliseconds;
    },
  };
}
