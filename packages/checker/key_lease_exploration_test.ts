import { describe, expect, it } from "vitest";
import { explore, formatExploration, randomWalk } from "./explore.ts";
import { KeyLeaseModel } from "./models/key_lease_model.ts";
import type { KeyLeaseMutation } from "./models/key_lease_model.ts";

const bounds = {
  gateways: 1,
  // Coarse, so that paths of a few actions go beyond the bound.
  stepMilliseconds: 3000,
  lastTime: 9000,
  watches: 2,
  relays: 0,
  mayRestart: false,
  maySuspend: false,
} as const;
/** Number of actions up to which every order is to be explored. */
const minimumCompleteDepth = 9;
const walk = { seed: 11, paths: 60_000, maximumDepth: 45 };

/** Finds what a fault breaks: a shortest path, or one of many random ones. */
function findViolation(mutation: KeyLeaseMutation): string {
  const model = new KeyLeaseModel({
    ...bounds,
    gateways: 2,
    stepMilliseconds: 1000,
    watches: 3,
    relays: 1,
    maySuspend: true,
    mayRestart: true,
  }, mutation);
  return randomWalk(model, walk).violation?.message ?? "";
}

describe("exploration of the lease on the keys of workspaces", () => {
  it("finds no request sent after the bound, in every order of a few events", () => {
    const exploreWith = (mutation: KeyLeaseMutation | null) =>
      explore(new KeyLeaseModel(bounds, mutation), {
        maximumDepth: 40,
        maximumStates: 150_000,
      });
    const result = exploreWith(null);
    console.info(`key lease: ${formatExploration(result)}`);
    expect(result.violation).toBeNull();
    expect(result.completeDepth).toBeGreaterThanOrEqual(minimumCompleteDepth);
    // The same orders hold those that a fault needs.
    const faulty = exploreWith("countsFromResponse");
    expect(faulty.violation?.message).toMatch(/before the bound/);
    expect(faulty.depth).toBeLessThanOrEqual(minimumCompleteDepth);
  });

  it("finds none on long random paths with restarts and suspensions", () => {
    const model = new KeyLeaseModel({
      gateways: 2,
      stepMilliseconds: 1000,
      lastTime: 14_000,
      watches: 8,
      relays: 3,
      mayRestart: true,
      maySuspend: true,
    }, null);
    const result = randomWalk(model, { ...walk, seed: 5 });
    console.info(`key lease, random: ${formatExploration(result)}`);
    expect(result.violation).toBeNull();
  });

  describe("with a fault", () => {
    it("detects a lease that is counted from the response", () => {
      expect(findViolation("countsFromResponse")).toMatch(/before the bound/);
    });

    it("detects a relayed request that the second gateway does not check", () => {
      expect(findViolation("sendsRelayedUnchecked")).toMatch(/relayed/);
    });

    it("detects a clock that stops during a suspension", () => {
      expect(findViolation("ignoresSuspension")).toMatch(/before the bound/);
    });

    it("detects a leader that does not say how old its confirmation is", () => {
      expect(findViolation("reportsNoAge")).toMatch(/before the bound/);
    });

    it("detects an acknowledgement that does not wait for gateways", () => {
      expect(findViolation("acknowledgesAtOnce")).toMatch(/acknowledged/);
    });
  });
});
