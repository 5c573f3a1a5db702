import { RevisionCounter, TargetRegistry } from "@kingcupglade/fleet";
import { beforeEach, describe, expect, it } from "vitest";
import { LimitDirectory } from "./limit_directory.ts";
import type { Watch } from "./watch.ts";

const silentLogger = { debug() {}, info() {}, warn() {}, error() {} };

describe("LimitDirectory", () => {
  let registry: TargetRegistry;
  let revisions: RevisionCounter;
  let directory: LimitDirectory;
  let nearest: readonly string[];
  let sequence: number;

  beforeEach(() => {
    revisions = new RevisionCounter();
    registry = new TargetRegistry(revisions);
    nearest = ["g1", "g2", "g3"];
    sequence = 0;
    directory = new LimitDirectory({
      registry,
      managers: { limitGateways: () => nearest },
      logger: silentLogger,
    });
    announce(1);
  });

  function announce(bornAt: number): void {
    registry.recordHeartbeat({
      incarnation: { target: "t", bornAt },
      service: "catalogue",
      address: "t:80",
      dataCentre: "a",
      slots: 4,
      isDraining: false,
      coldMilliseconds: 0,
      sequence: sequence++,
      holds: [],
      freed: [],
    }, { now: 0, departure: undefined });
  }

  function report(perSecond: number | null): void {
    const limits = [{ target: "t", perSecond }];
    directory.recordWatch({ gateway: "g1", limits } as unknown as Watch, 0);
  }

  it("records a limit with the gateways that share it, as one revision", () => {
    const before = revisions.current;
    report(2);
    expect(registry.get("t")?.maximumPerSecond).toBe(2);
    expect(directory.gatewaysOf("t")).toEqual(nearest);
    expect(registry.get("t")!.revision).toBeGreaterThan(before);
    const { revision } = registry.get("t")!;
    report(2);
    directory.choose(0);
    expect(registry.get("t")!.revision).toBe(revision);
  });

  it("publishes the target again when other gateways share its limit", () => {
    report(2);
    const { revision } = registry.get("t")!;
    nearest = ["g1", "g2", "g4"];
    directory.choose(0);
    expect(directory.gatewaysOf("t")).toEqual(nearest);
    expect(registry.get("t")!.revision).toBeGreaterThan(revision);
  });

  it("ends a limit when a gateway reports its end", () => {
    report(2);
    report(null);
    expect(registry.get("t")?.maximumPerSecond).toBeNull();
    expect(directory.gatewaysOf("t")).toEqual([]);
  });

  it("keeps the limit through heartbeats, but not in a new incarnation", () => {
    report(2);
    announce(1);
    expect(registry.get("t")?.maximumPerSecond).toBe(2);
    announce(2);
    expect(registry.get("t")?.maximumPerSecond).toBeNull();
  });

  it("ignores targets that are not registered", () => {
    const limits = [{ target: "gone", perSecond: 1 }];
    directory.recordWatch({ gateway: "g1", limits } as unknown as Watch, 0);
    expect(registry.get("gone")).toBeUndefined();
  });
});
