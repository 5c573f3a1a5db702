import { beforeEach, describe, expect, it } from "vitest";
import { IdentityMonitor } from "./identity_monitor.ts";
import { KeyHistory } from "./key_history.ts";

describe("IdentityMonitor", () => {
  let violations: string[];
  let monitor: IdentityMonitor;

  beforeEach(() => {
    violations = [];
    const history = new KeyHistory();
    history.recordChange({ workspace: "acme", keys: ["m-1"], sentAt: 0 });
    history.recordChange({ workspace: "other", keys: ["m-2"], sentAt: 0 });
    monitor = new IdentityMonitor({
      history,
      keyMarker: "m-",
      onViolation: (violation) => violations.push(violation),
    });
  });

  function arrive(
    fields: readonly string[],
    options: {
      readonly key?: string;
      readonly isPublic?: boolean;
      readonly path?: string;
    } = {},
  ): void {
    const { key, isPublic = false, path = "/1" } = options;
    monitor.recordArrival(
      { id: "w1", gateway: "gateway-0", key, isPublic, sentAt: 0 },
      { target: "t", path, fields },
    );
  }

  it("allows the name of the holder, and none on a public route", () => {
    arrive(["host", "h", "X-Tenant", "acme"], { key: "m-1" });
    arrive(["host", "h"], { key: "m-1", isPublic: true });
    arrive([]);
    expect(violations).toEqual([]);
  });

  it.each([
    ["a header", ["x-tenant", "acme", "AUTHORIZATION", "Bearer 1"], "/1"],
    ["another header", ["x-tenant", "acme", "x-key", "is m-1"], "/1"],
    ["the path", ["x-tenant", "acme"], "/1?key=m-1"],
  ])("detects a key that a target receives in %s", (_, fields, path) => {
    arrive(fields, { key: "m-1", path });
    expect(violations).toEqual(["t received a key with w1"]);
  });

  it.each([
    ["in place of the holder's", ["X-TENANT", "other"]],
    ["besides the holder's", ["x-tenant", "acme", "X-Tenant", "other"]],
    ["in another header", ["x-tenant", "acme", "x-from", "other"]],
    ["none although the key has a holder", []],
  ])("detects the name of another workspace, %s", (_, fields) => {
    arrive(fields, { key: "m-1" });
    expect(violations).toHaveLength(1);
  });

  it("detects a name on a public route and without a key", () => {
    arrive(["x-tenant", "acme"], { key: "m-1", isPublic: true });
    arrive(["x-tenant", "acme"]);
    expect(violations).toHaveLength(2);
  });
});
