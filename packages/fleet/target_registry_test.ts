import { describe, expect, it } from "vitest";
import type { Announcement } from "./announcement.ts";
import { RevisionCounter, TargetRegistry } from "./target_registry.ts";

function heartbeat(
  target: string,
  bornAt: number,
  overrides: Partial<Announcement> = {},
): Announcement {
  return {
    incarnation: { target, bornAt },
    service: "catalogue",
    address: "10.0.0.1:80",
    dataCentre: "hsinchu-a",
    slots: 6,
    isDraining: false,
    coldMilliseconds: 0,
    sequence: 1,
    holds: [],
    freed: [],
    ...overrides,
  };
}

describe("TargetRegistry", () => {
  const context = { now: 0, departure: undefined };

  it("rejects late heartbeats of an ended incarnation", () => {
    const registry = new TargetRegistry(new RevisionCounter());
    expect(registry.recordHeartbeat(heartbeat("a", 5), context)).toBe(true);
    expect(
      registry.recordHeartbeat(heartbeat("a", 4, { sequence: 99 }), context),
    )
      .toBe(false);
    expect(registry.recordHeartbeat(heartbeat("b", 4), context)).toBe(false);
    expect(registry.get("a")?.incarnation.bornAt).toBe(5);
  });

  it("assigns an address to the incarnation that started last", () => {
    const registry = new TargetRegistry(new RevisionCounter());
    registry.recordHeartbeat(heartbeat("a", 5), context);
    expect(registry.recordHeartbeat(heartbeat("b", 6), context)).toBe(true);
    expect(registry.get("a")).toBeUndefined();
  });

  // Failure: a target at the address of one that had crashed, whose clock had been
  // ahead, got no requests for a minute.
  it("assigns an address whose target is silent to another with an earlier start", () => {
    const registry = new TargetRegistry(new RevisionCounter());
    registry.recordHeartbeat(heartbeat("a", 5), context);
    const later = { now: 5000, departure: undefined };
    expect(registry.recordHeartbeat(heartbeat("b", 4), later)).toBe(false);
    const muchLater = { now: 10_000, departure: undefined };
    expect(registry.recordHeartbeat(heartbeat("b", 4), muchLater)).toBe(true);
    expect(registry.get("a")).toBeUndefined();
  });

  it("accepts a restarted sequence from a new incarnation of the same name", () => {
    const registry = new TargetRegistry(new RevisionCounter());
    registry.recordHeartbeat(heartbeat("a", 5, { sequence: 50 }), context);
    expect(
      registry.recordHeartbeat(heartbeat("a", 6, { sequence: 1 }), context),
    )
      .toBe(true);
  });

  it("keeps a departed target as leaving until its next incarnation", () => {
    const registry = new TargetRegistry(new RevisionCounter());
    const departure = { kind: "draining", bornAt: 5, changedAt: 1 } as const;
    registry.recordHeartbeat(heartbeat("a", 5, { sequence: 1 }), context);
    registry.recordDeparture("a", departure);
    registry.recordHeartbeat(heartbeat("a", 5, { sequence: 2 }), {
      now: 1,
      departure,
    });
    expect(registry.get("a")?.isLeaving).toBe(true);
    registry.recordHeartbeat(heartbeat("a", 7), { now: 2, departure });
    expect(registry.get("a")?.isLeaving).toBe(false);
  });

  it("marks targets of a data centre as unconfirmed until their next heartbeat", () => {
    const registry = new TargetRegistry(new RevisionCounter());
    registry.recordHeartbeat(heartbeat("a", 5), context);
    registry.markUnconfirmed("hsinchu-a");
    expect(registry.get("a")?.isUnconfirmed).toBe(true);
    registry.recordHeartbeat(heartbeat("a", 5, { sequence: 2 }), context);
    expect(registry.get("a")?.isUnconfirmed).toBe(false);
  });
});
