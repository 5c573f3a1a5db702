import { beforeEach, describe, expect, it } from "vitest";
import { KeyHistory } from "./key_history.ts";
import { UnknownKeyMonitor } from "./unknown_key_monitor.ts";

describe("UnknownKeyMonitor", () => {
  let violations: string[];
  let monitor: UnknownKeyMonitor;

  beforeEach(() => {
    violations = [];
    const history = new KeyHistory();
    history.recordChange({ workspace: "acme", keys: ["old"], sentAt: 0 });
    history.recordChange({ workspace: "acme", keys: ["new"], sentAt: 1 });
    monitor = new UnknownKeyMonitor({
      history,
      onViolation: (violation) => violations.push(violation),
    });
  });

  function arrive(key: string | undefined, isPublic = false): void {
    monitor.recordArrival(
      { id: "w1", gateway: "gateway-0", key, isPublic, sentAt: 2 },
      { target: "t", path: "/1", fields: [] },
    );
  }

  it("detects a request with a key that never existed", () => {
    arrive("wrong");
    expect(violations).toEqual([
      "t received w1 from gateway-0 with a key that never existed",
    ]);
  });

  it("detects a request without a key", () => {
    arrive(undefined);
    expect(violations).toEqual(["t received w1 from gateway-0 with no key"]);
  });

  it("allows keys that exist or existed, and any on public routes", () => {
    arrive("new");
    arrive("old");
    arrive("wrong", true);
    arrive(undefined, true);
    expect(violations).toEqual([]);
  });
});
