import { describe, expect, it } from "vitest";
import type { Announcement } from "./announcement.ts";
import { Revisions, TargetRegistry } from "./target_registry.ts";

function beat(
  target: string,
  bornAt: number,
  more: Partial<Announcement> = {},
): Announcement {
  return {
    life: { target, bornAt },
    service: "catalogue",
    address: "10.0.0.1:80",
    dataCentre: "hsinchu-a",
    slots: 6,
    isDraining: false,
    coldMilliseconds: 0,
    sequence: 1,
    holds: [],
    freed: [],
    ...more,
  };
}

describe("TargetRegistry", () => {
  const at = { now: 0, departure: undefined };

  it("takes no heartbeat of a life that has ended, however late it comes", () => {
    const registry = new TargetRegistry(new Revisions());
    expect(registry.note(beat("a", 5), at)).toBe(true);
    expect(registry.note(beat("a", 4, { sequence: 99 }), at)).toBe(false);
    expect(registry.note(beat("b", 4), at)).toBe(false);
    expect(registry.get("a")?.life.bornAt).toBe(5);
  });

  it("gives an address to the life that started last", () => {
    const registry = new TargetRegistry(new Revisions());
    registry.note(beat("a", 5), at);
    expect(registry.note(beat("b", 6), at)).toBe(true);
    expect(registry.get("a")).toBeUndefined();
  });

  it("lets a new life under the same name count its heartbeats anew", () => {
    const registry = new TargetRegistry(new Revisions());
    registry.note(beat("a", 5, { sequence: 50 }), at);
    expect(registry.note(beat("a", 6, { sequence: 1 }), at)).toBe(true);
  });

  it("keeps a target that leaves out until its next life", () => {
    const registry = new TargetRegistry(new Revisions());
    const departure = { kind: "draining", bornAt: 5, changedAt: 1 } as const;
    registry.note(beat("a", 5, { sequence: 1 }), at);
    registry.noteDeparture("a", departure);
    registry.note(beat("a", 5, { sequence: 2 }), { now: 1, departure });
    expect(registry.get("a")?.isLeaving).toBe(true);
    registry.note(beat("a", 7), { now: 2, departure });
    expect(registry.get("a")?.isLeaving).toBe(false);
  });

  it("doubts the targets of a data centre until they are heard again", () => {
    const registry = new TargetRegistry(new Revisions());
    registry.note(beat("a", 5), at);
    registry.doubt("hsinchu-a");
    expect(registry.get("a")?.isUnproven).toBe(true);
    registry.note(beat("a", 5, { sequence: 2 }), at);
    expect(registry.get("a")?.isUnproven).toBe(false);
  });
});
