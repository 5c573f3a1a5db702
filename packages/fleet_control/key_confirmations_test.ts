import { setTimeout as pause } from "node:timers/promises";
import { Role } from "@kingcupglade/consensus";
import { ManualClock, MonotonicClock } from "@kingcupglade/tasks";
import { ElapsedClock } from "@kingcupglade/workspaces";
import { beforeEach, describe, expect, it } from "vitest";
import { KeyConfirmations } from "./key_confirmations.ts";
import type { Watch } from "./watch.ts";

function watchAt(index: number, gateway = "g1"): Watch {
  return { gateway, position: { index } } as never;
}

/** State of a leader with two other voters that followed it at some time. */
function consensus(followedAt: number, role: Role = Role.leader): never {
  const configuration = { voters: ["a", "b", "c"], learners: [] };
  return {
    role,
    self: "a",
    leadingSince: 0,
    snapshot: { configuration },
    entries: [],
    progress: new Map([["b", { followedAt }], ["c", { followedAt: 0 }]]),
  } as never;
}

describe("KeyConfirmations", () => {
  const lines: string[] = [];
  const logger = {
    debug() {},
    info: (event: string, fields?: object) =>
      lines.push(JSON.stringify({ event, ...fields })),
    warn() {},
    error() {},
  };

  beforeEach(() => {
    lines.length = 0;
  });

  it("tells how recently a quorum confirmed this leader", () => {
    const clock = new ManualClock(10_000);
    const confirmations = (state: never) =>
      new KeyConfirmations({
        replica: { consensus: state },
        clock,
        elapsedClock: new ElapsedClock({
          monotonic: clock,
          readWallClock: () => clock.now(),
        }),
        activeGateways: () => [],
        logger,
      });
    expect(confirmations(consensus(9400)).ownPart(9900))
      .toEqual({ confirmedAgeMilliseconds: 500 });
    expect(confirmations(consensus(9950)).ownPart(9900))
      .toEqual({ confirmedAgeMilliseconds: 0 });
    expect(confirmations(consensus(9950, Role.follower)).ownPart(9900))
      .toEqual({});
  });

  describe("for a revocation", () => {
    let active: readonly string[];

    function create(revokeMilliseconds?: number) {
      const clock = new MonotonicClock();
      return new KeyConfirmations({
        replica: { consensus: consensus(0) },
        clock,
        elapsedClock: new ElapsedClock({ monotonic: clock }),
        activeGateways: () => active,
        ...(revokeMilliseconds !== undefined && { revokeMilliseconds }),
        logger,
      });
    }

    async function waitFor(confirmations: KeyConfirmations): Promise<number> {
      const startedAt = performance.now();
      await confirmations.waitForRevocation(7, { keys: 1 });
      return performance.now() - startedAt;
    }

    beforeEach(() => {
      active = ["g1", "g2"];
    });

    it("waits until every gateway in contact confirms it", async () => {
      const confirmations = create(5000);
      const now = confirmations.now();
      confirmations.recordWatch(watchAt(7, "g1"), now);
      confirmations.recordWatch(watchAt(6, "g2"), now);
      const waited = waitFor(confirmations);
      await pause(100);
      confirmations.recordWatch(watchAt(7, "g2"), confirmations.now());
      const milliseconds = await waited;
      expect(milliseconds).toBeGreaterThan(80);
      expect(milliseconds).toBeLessThan(500);
      expect(lines.join()).toMatch(/"keys-revoked".*"unconfirmed":""/);
    });

    it("waits for a second at most, and names who did not confirm", async () => {
      const confirmations = create(5000);
      confirmations.recordWatch(watchAt(6, "g2"), confirmations.now());
      const milliseconds = await waitFor(confirmations);
      expect(milliseconds).toBeGreaterThan(950);
      expect(milliseconds).toBeLessThan(1400);
      expect(lines.join()).toMatch(/"unconfirmed":"g2"/);
    });

    it("does not wait for gateways that are gone, or have no lease", async () => {
      active = ["g1"];
      const confirmations = create(5000);
      const now = confirmations.now();
      confirmations.recordWatch(watchAt(6, "g1"), now - 5001);
      confirmations.recordWatch(watchAt(6, "g2"), now);
      expect(await waitFor(confirmations)).toBeLessThan(100);
    });

    it("does not wait without a bound", async () => {
      const confirmations = create();
      confirmations.recordWatch(watchAt(6), confirmations.now());
      expect(await waitFor(confirmations)).toBeLessThan(50);
    });
  });
});
