import { describe, expect, it } from "vitest";
import { LinkFullness } from "./link_fullness.ts";
import { LinkScheduler } from "./link_scheduler.ts";

/** A link whose settings name a rate, reviewed every 50 ms. */
class Play {
  readonly scheduler: LinkScheduler;
  readonly changes: boolean[] = [];
  readonly fullness: LinkFullness;
  now = 0;

  constructor(megabitsPerSecond: number) {
    this.scheduler = new LinkScheduler({ megabitsPerSecond, now: 0 });
    this.fullness = new LinkFullness({
      directions: [this.scheduler],
      onChange: (isFull) => this.changes.push(isFull),
    });
  }

  run(milliseconds: number, each: () => void = () => {}): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 50) {
      each();
      this.scheduler.advance(this.now);
      this.fullness.review(this.now);
    }
  }
}

describe("a link", () => {
  it("is not full while it carries all that is sent", () => {
    const play = new Play(2.52);
    play.run(2000, () => play.scheduler.count(10_000, play.now));
    expect(play.changes).toEqual([]);
  });

  it("is full while small messages wait, and free after that", () => {
    const play = new Play(2.52);
    play.run(500, () => play.scheduler.count(30_000, play.now));
    expect(play.fullness.isFull).toBe(true);
    expect(play.fullness.delaysSmall(play.now)).toBe(true);
    play.run(2000);
    expect(play.changes).toEqual([true, false]);
  });

  it("is full while large responses wait long", () => {
    const play = new Play(2.52);
    for (let at = 0; at < 40; at += 1) {
      const transfer = play.scheduler.open(
        { priority: 1, deadlineAt: at, granted: () => {} },
        0,
      );
      play.scheduler.request(transfer, 90_000, 0);
    }
    play.run(400);
    expect(play.fullness.isFull).toBe(true);
    expect(play.fullness.delaysSmall(play.now)).toBe(false);
  });

  // Guards against a rate in the settings that the link does not have.
  it("is full if grants are not used although bytes arrive at their peak", () => {
    const play = new Play(25);
    const transfers = Array.from({ length: 4 }, () =>
      play.scheduler.open(
        { priority: 1, deadlineAt: 1, granted: () => {} },
        0,
      ));
    for (const each of transfers) play.scheduler.request(each, 90_000, 0);
    play.run(600, () => play.scheduler.record(transfers[0]!, 2000, play.now));
    expect(play.fullness.isFull).toBe(true);
  });

  // Guards against a slow target, or a lost path, that is taken for a full link.
  it("is not full if nothing arrives", () => {
    const play = new Play(25);
    for (let at = 0; at < 4; at += 1) {
      const transfer = play.scheduler.open(
        { priority: 1, deadlineAt: 1, granted: () => {} },
        0,
      );
      play.scheduler.request(transfer, 90_000, 0);
    }
    play.run(2000);
    expect(play.changes).toEqual([]);
  });
});
