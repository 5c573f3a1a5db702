import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type { FleetCommand, FleetState } from "@kingcupglade/fleet";
import { PlatformControlWire } from "@kingcupglade/platform";
import { encodeValue } from "@kingcupglade/protocol";
import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import type { ExternalResponse } from "./control_wire.ts";
import { ItemCalls } from "./item_calls.ts";
import type { ItemCallLeader } from "./item_calls.ts";
import { vmsWithout } from "./vms_without.ts";
import { WorkspaceSeals } from "./workspace_seals.ts";

const key = "key-of-acme";
const tenant = { name: "acme", apiKeys: [key, "second"], version: 3 };

describe("calls that change workspaces", () => {
  const wire = new PlatformControlWire();
  let lines: string[];
  let proposed: FleetCommand[];
  let state: FleetState;
  let earlierVms: readonly string[];
  let waits: number[];

  beforeEach(() => {
    lines = [];
    proposed = [];
    waits = [];
    state = emptyFleetState;
    earlierVms = [];
  });

  function createCalls(secret = "secret"): ItemCalls {
    const log = (event: string, fields?: object) =>
      lines.push(JSON.stringify({ event, ...fields }));
    const logger = { debug: log, info: log, warn: log, error: log };
    return new ItemCalls({
      wire,
      toleratedLosses: 0,
      seals: new WorkspaceSeals({ secret, logger }),
      regions: { a: "north" },
      vmsWithout: () => earlierVms,
      clock: new ManualClock(0),
      logger,
    });
  }

  const leader = {
    replica: {
      consensus: {},
      get state() {
        return state;
      },
      get appliedIndex() {
        return proposed.length;
      },
      propose: (command: FleetCommand) => {
        proposed.push(command);
        const index = proposed.length;
        const applied = new FleetMachine().apply(state, command, index);
        state = applied.state;
        return Promise.resolve(applied.outcome);
      },
      confirmLeadership: () => Promise.resolve(true),
    },
    session: {
      notifyChange: () => {},
      waitForRevocation: (index: number) => {
        waits.push(index);
        return Promise.resolve();
      },
    },
  } as unknown as ItemCallLeader;

  async function patch(document: object): Promise<ExternalResponse> {
    const body = new TextEncoder().encode(JSON.stringify(document));
    const call = wire.decode({ method: "PATCH", path: "/v1/config", body });
    if (call.kind === "unreadable") {
      return wire.encode({ kind: "refused", faults: call.faults });
    }
    if (call.kind !== "changeItems") throw new Error("no change");
    return wire.encode(await createCalls().change(call, leader));
  }

  async function read(secret?: string): Promise<ExternalResponse> {
    return wire.encode(await createCalls(secret).read(leader));
  }

  it("propose, store and log no key", async () => {
    expect((await patch({ upsert: { tenants: [tenant] } })).status).toBe(200);
    const bytes = [
      ...proposed.map((each) => encodeValue(each)),
      new FleetMachine().encode(state),
    ].map((each) => Buffer.from(each).toString("latin1"));
    for (const text of [...bytes, ...lines]) {
      expect(text).not.toContain(key);
      expect(text).not.toContain(
        Buffer.from(JSON.stringify(tenant)).toString("base64").slice(20, 40),
      );
    }
    expect(lines.join()).toContain("workspace/acme@3");
  });

  it("are read back as sent, but not with another secret", async () => {
    expect(JSON.parse((await read()).body)).not.toHaveProperty("tenants");
    await patch({ upsert: { tenants: [tenant] } });
    expect(JSON.parse((await read()).body)).toMatchObject({
      tenants: [tenant],
    });
    const other = await read("other");
    expect(other.status).toBe(503);
    expect(other.body).not.toContain(key);
    expect(lines.join()).toContain("workspace-sources-unreadable");
  });

  it("change nothing when they are repeated", async () => {
    await patch({ upsert: { tenants: [tenant] } });
    const before = state.items.get("workspace/acme");
    expect((await patch({ upsert: { tenants: [tenant] } })).status).toBe(200);
    expect(state.items.get("workspace/acme")).toBe(before);
  });

  // Guards against targets that receive keys after the acknowledgement: gateways
  // that lack the first workspace need none, and pass them on.
  it("wait for gateways if they are the first", async () => {
    await patch({ upsert: { tenants: [tenant] } });
    expect(waits).toEqual([1]);
  });

  it("wait for gateways after that only if they revoke a key", async () => {
    await patch({ upsert: { tenants: [tenant] } });
    waits.length = 0;
    await patch({
      upsert: {
        tenants: [{ ...tenant, apiKeys: [key, "second", "third"], version: 4 }],
      },
    });
    expect(waits).toEqual([]);
    await patch({
      upsert: { tenants: [{ ...tenant, apiKeys: [key], version: 5 }] },
    });
    expect(waits).toEqual([3]);
    // A key that moves is revoked for the workspace that had it.
    await patch({
      upsert: {
        tenants: [
          { ...tenant, apiKeys: ["fourth"], version: 6 },
          { name: "b", apiKeys: [key], version: 1 },
        ],
      },
    });
    await patch({ remove: { tenants: [{ name: "b", version: 2 }] } });
    expect(waits).toEqual([3, 4, 5]);
  });

  // Guards against replicas that diverge, and gateways that need no keys.
  it("are refused with the names of VMs that lack the feature", async () => {
    earlierVms = ["10.0.0.3:7390.ab", "gateway-4"];
    for (
      const document of [
        { upsert: { tenants: [tenant] } },
        { remove: { tenants: [{ name: "acme", version: 9 }] } },
      ]
    ) {
      const { status, body } = await patch(document);
      expect(status).toBe(503);
      expect(body).toMatch(/10\.0\.0\.3:7390\.ab, gateway-4/);
    }
    expect(proposed).toEqual([]);
    const services = [{ name: "s", maxConnections: 1, version: 1 }];
    expect((await patch({ upsert: { services } })).status).toBe(200);
  });

  it("are refused as a whole with a region that the fleet lacks", async () => {
    const { status, body } = await patch({
      upsert: {
        tenants: [tenant, {
          name: "b",
          apiKeys: ["b"],
          allowedRegions: ["north", "west"],
          version: 1,
        }],
      },
    });
    expect(status).toBe(400);
    expect(JSON.parse(body)).toEqual({
      faults: ['workspace "b": allowedRegions: the fleet has no region "west"'],
    });
    expect(proposed).toEqual([]);
  });
});

describe("the replicas without a feature", () => {
  const consensus = {
    self: "a",
    snapshot: { configuration: { voters: ["a", "b"], learners: ["c"] } },
    entries: [],
  } as never;

  it("are those that have not said that they have it", () => {
    const greeting = (replica: string, features?: readonly string[]) =>
      [replica, { replica, ...(features && { features }) }] as never;
    const findIn = (isInUse: boolean, ...greetings: readonly never[]) =>
      vmsWithout("workspaces", {
        consensus,
        greetings: new Map(greetings),
        isInUse,
      });
    const find = (...greetings: readonly never[]) =>
      findIn(false, ...greetings);
    expect(find()).toEqual(["b", "c"]);
    expect(find(greeting("b"), greeting("c", ["workspaces"]))).toEqual(["b"]);
    expect(find(greeting("b", ["workspaces"]), greeting("c", ["workspaces"])))
      .toEqual([]);
    // Guards against a lost control VM that keeps operators from revocations.
    expect(findIn(true)).toEqual([]);
    expect(findIn(true, greeting("b"))).toEqual(["b"]);
    // A recreated data folder has another ID.
    expect(find(greeting("b2", ["workspaces"]), greeting("c", ["workspaces"])))
      .toEqual(["b"]);
  });
});
