import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { seededRandom } from "../requests/forwarding_fixture.ts";
import { DeparturePlay } from "./departure_play_fixture.ts";

describe("departures that were acknowledged", () => {
  beforeEach(() => void vi.useFakeTimers({ now: 1_000_000 }));
  afterEach(() => void vi.useRealTimers());

  // Failure: a target that had said that it leaves was used again after a change
  // of leader, a late heartbeat or an update of a former leader.
  it.each(Array.from({ length: 200 }, (_, at) => at + 1))(
    "hold at every gateway that has the log entry (seed %i)",
    async (seed) => {
      const random = seededRandom(seed);
      const play = new DeparturePlay({ random, namesStart: true });
      await play.run();
      expect(play.violations.slice(0, 3)).toEqual([]);
      expect(play.departureCount).toBeGreaterThan(0);
    },
  );

  // Failure: a departure that names no start was acknowledged by a leader that had
  // not heard from the target yet, and did not apply to it.
  it.each(Array.from({ length: 200 }, (_, at) => at + 1))(
    "hold if they name no start (seed %i)",
    async (seed) => {
      // The clock of the leaders is set back behind those of the targets.
      vi.setSystemTime(0);
      const random = seededRandom(seed);
      const play = new DeparturePlay({ random, namesStart: false });
      await play.run();
      expect(play.violations.slice(0, 3)).toEqual([]);
      expect(play.departureCount).toBeGreaterThan(0);
    },
  );

  // Guards against a start that is taken from a clock that is ahead.
  it.each(Array.from({ length: 200 }, (_, at) => at + 1))(
    "hold if they name no start and the leaders' clock is ahead (seed %i)",
    async (seed) => {
      vi.setSystemTime(1_000_000_000);
      const random = seededRandom(seed);
      const play = new DeparturePlay({ random, namesStart: false });
      await play.run();
      expect(play.violations.slice(0, 3)).toEqual([]);
      expect(play.departureCount).toBeGreaterThan(0);
    },
  );

  // Failure: a departure that was acknowledged by a leader that had heard nobody
  // under the name was unknown to the next leader.
  it.each(Array.from({ length: 200 }, (_, at) => at + 1))(
    "hold if the leader heard nobody under the name (seed %i)",
    async (seed) => {
      const random = seededRandom(seed);
      const play = new DeparturePlay({
        random,
        namesStart: false,
        mayBeUnheard: true,
      });
      await play.run();
      expect(play.violations.slice(0, 3)).toEqual([]);
    },
  );

  // Guards against plays in which every leader has heard from the target.
  it("include some of names that the leader had not heard", async () => {
    let count = 0;
    for (let seed = 1; seed <= 20; seed += 1) {
      const play = new DeparturePlay({
        random: seededRandom(seed),
        namesStart: false,
        mayBeUnheard: true,
      });
      await play.run();
      count += play.unheardCount;
    }
    expect(count).toBeGreaterThan(10);
  });

  // Guards against plays that compare no tables.
  it("are compared with the leader's digest", async () => {
    let count = 0;
    for (let seed = 1; seed <= 20; seed += 1) {
      const play = new DeparturePlay({
        random: seededRandom(seed),
        namesStart: true,
      });
      await play.run();
      count += play.digestCount;
    }
    expect(count).toBeGreaterThan(400);
  });
});
