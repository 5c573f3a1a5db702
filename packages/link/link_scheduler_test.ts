import { describe, expect, it } from "vitest";
import { LinkScheduler } from "./link_scheduler.ts";
import type { Transfer } from "./link_scheduler.ts";

const megabitsPerSecond = 2.52;

/** A scheduler with transfers that always want more. */
class Play {
  readonly scheduler = new LinkScheduler({ megabitsPerSecond, now: 0 });
  readonly moved = new Map<string, number>();
  now = 0;

  open(name: string, priority: number, deadlineAt: number): Transfer {
    const transfer: Transfer = this.scheduler.open({
      priority,
      deadlineAt,
      granted: (bytes) => {
        this.moved.set(name, (this.moved.get(name) ?? 0) + bytes);
        this.scheduler.record(transfer, bytes, this.now);
        this.scheduler.request(transfer, 1e6, this.now);
      },
    }, this.now);
    this.scheduler.request(transfer, 1e6, this.now);
    return transfer;
  }

  run(milliseconds: number, eachMillisecond: () => void = () => {}): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 1) {
      eachMillisecond();
      this.scheduler.advance(this.now);
    }
  }

  movedBy(name: string): number {
    return this.moved.get(name) ?? 0;
  }
}

describe("the scheduler of a link", () => {
  it("grants the rate of the link, and no more", () => {
    const play = new Play();
    play.open("only", 1, 1000);
    play.run(2000);
    const usable = play.scheduler.rate * 2000;
    expect(play.movedBy("only")).toBeGreaterThan(usable * 0.97);
    expect(play.movedBy("only")).toBeLessThan(
      usable + 3 * play.scheduler.sliceBytes,
    );
  });

  it("grants what small messages leave", () => {
    const play = new Play();
    play.open("only", 1, 1000);
    const smallBytes = play.scheduler.rate / 2;
    play.run(2000, () => play.scheduler.count(smallBytes, play.now));
    expect(play.movedBy("only")).toBeLessThan(play.scheduler.rate * 1100);
    expect(play.movedBy("only")).toBeGreaterThan(play.scheduler.rate * 900);
  });

  // Guards against large transfers that never end beside too many small ones.
  it("grants a tenth of the rate if small messages need all of it", () => {
    const play = new Play();
    play.open("only", 1, 1000);
    play.run(
      5000,
      () => play.scheduler.count(play.scheduler.rate * 1.5, play.now),
    );
    expect(play.movedBy("only")).toBeGreaterThan(
      play.scheduler.rate * 5000 * 0.08,
    );
  });

  it("serves the most urgent route first, then the earliest deadline", () => {
    const play = new Play();
    play.open("late", 1, 3000);
    play.open("early", 1, 1000);
    play.open("less urgent", 2, 500);
    play.run(1000);
    expect(play.movedBy("early")).toBeGreaterThan(2 * play.movedBy("late"));
    expect(play.movedBy("early")).toBeGreaterThan(
      2 * play.movedBy("less urgent"),
    );
  });

  // Guards against a less urgent transfer that waits for as long as others come.
  it("serves every transfer, whatever the others are", () => {
    const play = new Play();
    for (let at = 0; at < 5; at += 1) play.open(`urgent ${at}`, 0, 100);
    play.open("less urgent", 9, 9000);
    play.run(3000);
    expect(play.movedBy("less urgent")).toBeGreaterThan(0);
  });

  // Guards against a share that is lost with a transfer whose end never comes.
  it("takes back what an ended transfer did not use", () => {
    const { scheduler } = new Play();
    let granted = 0;
    const options = { priority: 1, deadlineAt: 1000 };
    const silent = scheduler.open(
      { ...options, granted: (bytes) => (granted += bytes) },
      0,
    );
    scheduler.request(silent, 1e6, 0);
    scheduler.advance(0);
    expect(granted).toBe(scheduler.sliceBytes);
    scheduler.end(silent);
    const next = scheduler.open(
      { ...options, granted: (bytes) => (granted += bytes) },
      0,
    );
    scheduler.request(next, 1e6, 0);
    expect(scheduler.advance(0)).toBeUndefined();
    expect(granted).toBe(2 * scheduler.sliceBytes);
  });

  it("charges bytes that arrive beyond a grant to later grants", () => {
    const { scheduler } = new Play();
    const transfer = scheduler.open(
      { priority: 1, deadlineAt: 1000, granted: () => {} },
      0,
    );
    scheduler.request(transfer, 1e6, 0);
    scheduler.advance(0);
    scheduler.record(transfer, scheduler.sliceBytes + 30_000, 0);
    scheduler.request(transfer, 1e6, 0);
    expect(scheduler.advance(0)).toBeGreaterThan(
      0.9 * 30_000 / scheduler.rate,
    );
  });
});
