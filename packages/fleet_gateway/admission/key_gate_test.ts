import { ItemKind } from "@kingcupglade/items";
import type { Route, StoredItem } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { KeyDigest, KeyFault, KeyIndex } from "@kingcupglade/workspaces";
import { beforeEach, describe, expect, it } from "vitest";
import { KeyGate } from "./key_gate.ts";

const digest = new KeyDigest("secret");
const key = Buffer.from("key-of-acme");
const route = {
  name: "lookup",
  priority: 2,
  homeRegions: [],
} as never as Route;
const request = { requestId: "r1", route };

function workspace(keys: readonly string[]): StoredItem {
  return {
    kind: ItemKind.workspace,
    name: "acme",
    version: 1,
    source: "",
    changedAt: 1,
    content: {
      kind: ItemKind.workspace,
      name: "acme",
      keyDigests: keys.map((each) => digest.ofText(each)),
      priority: 0,
      ratePerSecond: 0,
      burst: 0,
      homeRegions: [],
    },
  };
}

describe("KeyGate", () => {
  const metrics = createMetrics();
  let clock: ManualClock;
  let lines: string[];
  let table: { keys: KeyIndex };

  beforeEach(() => {
    clock = new ManualClock(10_000);
    lines = [];
    table = { keys: new KeyIndex([workspace(["key-of-acme"])]) };
  });

  function createGate(revokeMilliseconds?: number): KeyGate {
    const log = (event: string, fields?: object) =>
      lines.push(JSON.stringify({ event, ...fields }));
    return new KeyGate({
      table: () => table,
      digest,
      elapsedClock: clock,
      ...(revokeMilliseconds !== undefined && { revokeMilliseconds }),
      logger: { debug: log, info: log, warn: log, error: log },
      metrics,
    });
  }

  /** Tells a gate that a leader answered a watch that is sent now. */
  function renew(gate: KeyGate, confirmedAgeMilliseconds = 0): void {
    gate.renew({
      part: { confirmedAgeMilliseconds },
      sentAt: clock.now(),
      isTableCurrent: true,
    });
  }

  function statusOf(gate: KeyGate, given: Uint8Array | undefined): number {
    const result = gate.authenticate(request, () => given);
    return result.kind === "accepted" ? 200 : result.response.status;
  }

  it("accepts a key, with the workspace and its priority", () => {
    const gate = createGate();
    renew(gate);
    expect(gate.authenticate(request, () => key)).toEqual({
      kind: "accepted",
      route: { ...route, priority: 0 },
      workspace: { name: "acme", keyDigest: digest.of(key) },
    });
  });

  it("does not read keys where none are required", () => {
    const gate = createGate(5000);
    const unread = () => {
      throw new Error("read");
    };
    const open = { ...route, isPublic: true };
    expect(gate.authenticate({ ...request, route: open }, unread).kind)
      .toBe("accepted");
    table = { keys: new KeyIndex([]) };
    expect(gate.authenticate(request, unread).kind).toBe("accepted");
    expect(gate.isReady).toBe(true);
  });

  it("answers 401 only within 2 s of a contact with control", () => {
    const gate = createGate();
    const other = Buffer.from("other");
    expect(statusOf(gate, other)).toBe(503);
    renew(gate);
    expect([statusOf(gate, other), statusOf(gate, undefined)])
      .toEqual([401, 401]);
    clock.advance(2000);
    expect(statusOf(gate, other)).toBe(401);
    clock.advance(1);
    expect([statusOf(gate, other), statusOf(gate, undefined)])
      .toEqual([503, 503]);
    // Without a bound on revocations, known keys are served on.
    expect(statusOf(gate, key)).toBe(200);
    expect(gate.isReady).toBe(true);
  });

  it("serves keys under a lease alone, and is not ready without one", () => {
    const gate = createGate(5000);
    expect(gate.isReady).toBe(false);
    expect(statusOf(gate, key)).toBe(503);
    renew(gate, 150);
    expect(gate.isReady).toBe(true);
    expect(statusOf(gate, key)).toBe(200);
    clock.advance(4499);
    expect(statusOf(gate, key)).toBe(200);
    clock.advance(1);
    expect(statusOf(gate, key)).toBe(503);
    expect(gate.isReady).toBe(false);
    gate.observe();
    expect(lines.map((line) => JSON.parse(line).event)).toEqual([
      "key-refused",
      "key-lease-acquired",
      "key-refused",
      "key-lease-lost",
    ]);
  });

  it("finds a key that was revoked after its request was accepted", () => {
    const gate = createGate(5000);
    renew(gate);
    const accepted = { name: "acme", keyDigest: digest.of(key) };
    expect(gate.recheck(accepted)).toBeUndefined();
    table = { keys: new KeyIndex([workspace(["another"])]) };
    expect(gate.recheck(accepted)).toBe(KeyFault.unknownKey);
    clock.advance(5000);
    expect(gate.recheck(accepted)).toBe(KeyFault.noLease);
    // Requests that need no key are not affected.
    expect(gate.recheck(undefined)).toBeUndefined();
  });

  it("takes relayed requests by its own table and lease", () => {
    const gate = createGate(5000);
    const relayed = { name: "acme", keyDigest: digest.of(key) };
    expect(gate.decideOnRelayed(route, relayed))
      .toMatchObject({ fault: KeyFault.noLease });
    renew(gate);
    expect(gate.decideOnRelayed(route, relayed))
      .toMatchObject({ kind: "accepted", workspace: "acme" });
    expect(gate.decideOnRelayed(route, { ...relayed, name: "b" }))
      .toMatchObject({ fault: KeyFault.unknownKey });
    expect(gate.decideOnRelayed(route, undefined))
      .toMatchObject({ fault: KeyFault.noKey });
  });

  it("logs the request and the cause, but no key", () => {
    const gate = createGate();
    renew(gate);
    statusOf(gate, Buffer.from("secret-of-a-caller"));
    expect(JSON.parse(lines[0]!)).toMatchObject({
      event: "key-refused",
      request: "r1",
      status: 401,
      fault: "unknown-key",
      route: "lookup",
      contactAgeMilliseconds: 0,
    });
    expect(lines[0]).not.toContain("secret-of-a-caller");
  });

  // Guards against a gateway that is busy with wrong keys: 1,000 a second may
  // use a small share of the 0.27 cores of a small gateway.
  it("decides on a wrong key within 100 microseconds", () => {
    const gate = createGate(5000);
    renew(gate);
    const wrong = Buffer.from("x".repeat(256));
    for (let at = 0; at < 2000; at += 1) statusOf(gate, wrong);
    const count = 5000;
    const startedAt = process.cpuUsage();
    for (let at = 0; at < count; at += 1) statusOf(gate, wrong);
    const { user, system } = process.cpuUsage(startedAt);
    const microseconds = (user + system) / count;
    console.info(`a wrong key: ${microseconds.toFixed(1)} microseconds`);
    expect(microseconds).toBeLessThan(100);
  });
});
