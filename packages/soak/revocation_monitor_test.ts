import { beforeEach, describe, expect, it } from "vitest";
import { KeyHistory } from "./key_history.ts";
import { RevocationMonitor } from "./revocation_monitor.ts";

const acknowledgedAt = 1000;
const revokeMilliseconds = 5000;

describe("RevocationMonitor", () => {
  let violations: string[];
  let history: KeyHistory;
  let monitor: RevocationMonitor;

  beforeEach(() => {
    violations = [];
    history = new KeyHistory();
    history.recordChange({ workspace: "acme", keys: ["old"], sentAt: 0 });
    history.recordChange({
      workspace: "acme",
      keys: ["new"],
      sentAt: 900,
      acknowledgedAt,
    });
    monitor = new RevocationMonitor({
      history,
      revokeMilliseconds,
      onViolation: (violation) => violations.push(violation),
    });
  });

  function arrive(sentAt: number, key = "old", isPublic = false): void {
    const request = { id: "w1", gateway: "gateway-0", key, isPublic, sentAt };
    monitor.recordRequest(request);
    monitor.recordArrival(request, { target: "t", path: "/1", fields: [] });
  }

  it("detects a request that was sent later than the bound", () => {
    arrive(acknowledgedAt + revokeMilliseconds + 1);
    expect(violations).toEqual([
      "t received w1 from gateway-0, sent 5001 ms after the acknowledgement that its key was revoked",
    ]);
    expect(monitor.judgedCount).toBe(1);
  });

  it("allows requests that were sent earlier, with other keys or on public routes", () => {
    arrive(acknowledgedAt + revokeMilliseconds);
    arrive(100_000, "new");
    arrive(100_000, "never-existed");
    arrive(100_000, "old", true);
    expect(violations).toEqual([]);
    expect(monitor.judgedCount).toBe(0);
  });

  it("judges nothing by a revocation that was not acknowledged", () => {
    history.recordChange({ workspace: "acme", keys: ["newer"], sentAt: 2000 });
    arrive(100_000, "new");
    expect(violations).toEqual([]);
  });
});
