import { createServer, request as send } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { emptyFleetState } from "@kingcupglade/fleet";
import type { Announcement } from "@kingcupglade/fleet";
import { PlatformControlWire } from "@kingcupglade/platform";
import { ManualClock, StallDetector } from "@kingcupglade/tasks";
import { createLogger } from "@kingcupglade/telemetry";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { EvacuationOrder } from "./evacuation_orders.ts";
import { ExternalCallHandler } from "./external_call_handler.ts";
import type { Leadership } from "./external_call_handler.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import type { PeerClients } from "./peer_clients.ts";
import { PeerClocks } from "./peer_clocks.ts";
import type { RelayedCall } from "./received_call.ts";
import { WorkspaceSeals } from "./workspace_seals.ts";

const logger = createLogger({ fields: {}, level: "silent" });
const self = "10.0.0.1:7390";
const leader = "10.0.0.2:7390";
const appliedIndex = 7;
const stallMilliseconds = 5000;

const evacuation = { method: "POST", path: "/v1/evacuations/a" };
const withdrawal = { method: "DELETE", path: "/v1/evacuations/a" };
const departure = { method: "DELETE", path: "/v1/instances/t1" };
const heartbeat = {
  method: "PUT",
  path: "/v1/instances/t1",
  body: JSON.stringify({
    service: "stock",
    address: "10.0.0.9:8080",
    zone: "a",
    slots: 4,
    state: "ready",
    coldRemainingS: 0,
    sequence: 4,
  }),
};
/** Calls without a version or a start that orders them. */
const unversionedCalls = [evacuation, withdrawal, departure, heartbeat];
/** Calls that tell by themselves whether they are outdated. */
const versionedCalls = [
  { method: "PATCH", path: "/v1/config", body: `{"upsert":{},"remove":{}}` },
  { ...departure, body: `{"born":1000}` },
];

interface Call {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

/** A handler with clocks and leadership that the test sets. */
class Fixture implements Leadership {
  readonly clock = new ManualClock(1000);
  readonly clocks = new PeerClocks();
  /** Calls relayed to the leader. */
  readonly relayed: RelayedCall[] = [];
  /** Time-outs of the relays. */
  readonly timeouts: number[] = [];
  readonly lines: string[] = [];
  /** Calls that this VM carried out as leader. */
  readonly executed: (EvacuationOrder | string)[] = [];
  isLeading = false;
  /** Targets whose heartbeats are not answered. */
  readonly silentTargets = new Set<string>();
  /** Whether departures may be acknowledged. */
  mayAcknowledgeDepartures = true;
  readonly handler: ExternalCallHandler;
  readonly #stalls: StallDetector;
  #timeOfDay = 0;

  constructor() {
    this.#stalls = new StallDetector({
      clock: this.clock,
      timeOfDay: () => this.#timeOfDay,
    });
    this.handler = new ExternalCallHandler({
      peerAddress: self,
      toleratedLosses: 0,
      seals: new WorkspaceSeals({ secret: "s", logger }),
      regions: { a: "north" },
      vmsWithout: () => [],
      wire: new PlatformControlWire(),
      clients: this.#createClients(),
      peerClocks: this.clocks,
      clock: this.clock,
      stalls: this.#stalls,
      ownTime: () => ({ process: "own", milliseconds: this.clock.now() }),
      logger: {
        ...logger,
        info: (event: string, fields?: object) =>
          this.lines.push(JSON.stringify({ event, ...fields })),
        warn: (event: string, fields?: object) =>
          this.lines.push(JSON.stringify({ event, ...fields })),
      },
    }, this);
  }

  get leaderAddress(): string {
    return this.isLeading ? self : leader;
  }

  get replica(): NonNullable<Leadership["replica"]> {
    const configuration = { voters: [self], learners: [] };
    return {
      appliedIndex,
      state: emptyFleetState,
      consensus: { snapshot: { configuration }, entries: [] },
      propose: ({ kind }: { readonly kind: string }) => {
        this.executed.push(kind);
        return Promise.resolve({ kind: "applied" });
      },
    } as never;
  }

  get session(): NonNullable<Leadership["session"]> {
    return {
      notifyChange: () => {},
      evacuate: (order: EvacuationOrder) => {
        this.executed.push(order);
        return Promise.resolve({ kind: "applied" });
      },
      handleDeparture: () => {
        this.executed.push("depart");
        return Promise.resolve(this.mayAcknowledgeDepartures);
      },
      handleHeartbeat: ({ incarnation }: Announcement) => {
        this.executed.push("announce");
        return this.silentTargets.has(incarnation.target)
          ? new Promise(() => {})
          : Promise.resolve({});
      },
    } as never;
  }

  #createClients(): PeerClients {
    const relay = (
      { call }: { readonly call: Uint8Array },
      { timeoutMs }: { readonly timeoutMs: number },
    ) => {
      this.timeouts.push(timeoutMs);
      const calls = unpackValue<readonly RelayedCall[]>(call);
      this.relayed.push(...calls);
      const result = packValue(calls.map(() => ({ status: 200, body: "{}" })));
      return Promise.resolve({ result });
    };
    return { client: () => ({ relay }) } as unknown as PeerClients;
  }

  pass(milliseconds: number): void {
    this.clock.advance(milliseconds);
    this.#timeOfDay += milliseconds;
  }

  /** Advances the clocks while the event loop runs. */
  runFor(milliseconds: number): void {
    for (let at = 0; at < milliseconds; at += 50) {
      this.pass(50);
      this.#stalls.observe();
    }
  }

  /** Executes calls as relayed by another VM. */
  async executeRelayed(calls: readonly object[]): Promise<readonly number[]> {
    const result = await this.handler.serveRelayed(packValue(calls));
    return unpackValue<readonly { readonly status: number }[]>(result)
      .map(({ status }) => status);
  }
}

function encodeCall({ method, path, body = "" }: Call) {
  return { method, path, body: new TextEncoder().encode(body) };
}

describe("calls of targets and operators", () => {
  let fixture: Fixture;
  let server: Server;

  beforeEach(async () => {
    fixture = new Fixture();
    server = createServer((request, response) =>
      void fixture.handler.handle(request, response)
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  function call({ method, path, body }: Call): Promise<number> {
    const { port } = server.address() as AddressInfo;
    const headers = { "content-length": Buffer.byteLength(body ?? "") };
    const options = { host: "127.0.0.1", port, method, path, headers };
    return new Promise((resolve, reject) => {
      const request = send(options, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      });
      request.once("error", reject);
      request.end(body);
    });
  }

  describe("that a follower reads", () => {
    it.each([...unversionedCalls, ...versionedCalls])(
      "relays $method $path with its age and the known log entry",
      async (each) => {
        fixture.clocks.record(leader, {
          time: { process: "leader", milliseconds: 90_000 },
          askedAt: 900,
          receivedAt: 1000,
        });
        fixture.pass(20);
        expect(await call(each)).toBe(200);
        expect(fixture.relayed).toMatchObject([{
          method: each.method,
          path: each.path,
          receipt: {
            ageMilliseconds: 0,
            knownIndex: appliedIndex,
            sentAt: { process: "leader", milliseconds: 90_020 },
          },
        }]);
      },
    );

    // The sender may have ordered the opposite while this VM was suspended, and
    // its close may be lost.
    it.each(unversionedCalls)(
      "are not relayed after a stall: $method $path",
      async (each) => {
        fixture.pass(stallMilliseconds);
        expect(await call(each)).toBe(503);
        expect(fixture.relayed).toEqual([]);
      },
    );

    it.each(versionedCalls)(
      "are relayed after a stall if they are versioned: $method $path",
      async (each) => {
        fixture.pass(stallMilliseconds);
        expect(await call(each)).toBe(200);
        expect(fixture.relayed).toHaveLength(1);
      },
    );

    // Guards against keys in the log of a follower, and against a call that is
    // answered with 503 while the leader waits for gateways.
    it("are relayed with time for a revocation, and logged by name", async () => {
      const tenant = { name: "acme", apiKeys: ["key-of-acme"], version: 3 };
      const body = JSON.stringify({ upsert: { tenants: [tenant] } });
      expect(await call({ method: "PATCH", path: "/v1/config", body })).toBe(
        200,
      );
      await call(evacuation);
      const [change, order] = fixture.timeouts;
      expect(change).toBeGreaterThan(1400);
      expect(order).toBeLessThan(500);
      expect(fixture.lines.join()).toContain("workspace/acme@3");
      expect(fixture.lines.join()).not.toContain("key-of-acme");
    });

    it("are relayed once the stall is over", async () => {
      fixture.pass(stallMilliseconds);
      fixture.runFor(600);
      expect(await call(evacuation)).toBe(200);
    });

    it("are dropped if the sender has closed its connection", async () => {
      const { port } = server.address() as AddressInfo;
      const path = withdrawal.path;
      const options = { host: "127.0.0.1", port, method: "DELETE", path };
      await new Promise<void>((resolve) => {
        const request = send(options);
        request.once("error", () => resolve());
        request.end(() => request.destroy(new Error("the sender left")));
      });
      await call(versionedCalls[0]!);
      expect(fixture.relayed).toMatchObject([{ method: "PATCH" }]);
    });
  });

  describe("that the leader reads", () => {
    beforeEach(() => {
      fixture.isLeading = true;
    });

    it("are carried out with the known log entry", async () => {
      expect(await call(withdrawal)).toBe(200);
      expect(fixture.executed).toEqual([
        { dataCentre: "a", isOut: false, knownIndex: appliedIndex },
      ]);
    });

    // Failure: a departure was acknowledged that did not apply to its target.
    it("are not acknowledged if no start is named or known", async () => {
      fixture.mayAcknowledgeDepartures = false;
      expect(await call(departure)).toBe(503);
    });

    it.each(unversionedCalls)(
      "are not carried out after a stall: $method $path",
      async (each) => {
        fixture.pass(stallMilliseconds);
        expect(await call(each)).toBe(503);
        expect(fixture.executed).toEqual([]);
      },
    );

    it.each(versionedCalls)(
      "are carried out after a stall if they are versioned: $method $path",
      async (each) => {
        fixture.pass(stallMilliseconds);
        expect(await call(each)).toBe(200);
        expect(fixture.executed).toHaveLength(1);
      },
    );
  });

  describe("that a follower relays", () => {
    beforeEach(() => {
      fixture.isLeading = true;
    });

    const receipt = { ageMilliseconds: 20, knownIndex: 5, sentAt: null };

    it("are carried out with the log entry that the follower knew", async () => {
      const order = { ...encodeCall(withdrawal), receipt };
      expect(await fixture.executeRelayed([order])).toEqual([200]);
      expect(fixture.executed).toEqual([
        { dataCentre: "a", isOut: false, knownIndex: 5 },
      ]);
    });

    it.each(unversionedCalls)(
      "are not carried out when they waited before: $method $path",
      async (each) => {
        const late = { ...receipt, ageMilliseconds: 1100 };
        const order = { ...encodeCall(each), receipt: late };
        expect(await fixture.executeRelayed([order])).toEqual([503]);
        expect(fixture.executed).toEqual([]);
      },
    );

    // A connection that was cut delivers its bytes when it is restored.
    it.each(unversionedCalls)(
      "are not carried out when they were held up between VMs: $method $path",
      async (each) => {
        const sentAt = { process: "own", milliseconds: fixture.clock.now() };
        fixture.runFor(1100);
        const late = { ...receipt, sentAt };
        const order = { ...encodeCall(each), receipt: late };
        expect(await fixture.executeRelayed([order])).toEqual([503]);
        expect(fixture.executed).toEqual([]);
      },
    );

    it.each(unversionedCalls)(
      "are not carried out after a stall of the leader: $method $path",
      async (each) => {
        fixture.pass(stallMilliseconds);
        const order = { ...encodeCall(each), receipt };
        expect(await fixture.executeRelayed([order])).toEqual([503]);
        expect(fixture.executed).toEqual([]);
      },
    );

    // Failure: one heartbeat that waited for a commit cost all targets of the
    // follower their acknowledgements.
    it("are answered in time beside one that takes long", async () => {
      fixture.silentTargets.add("t1");
      const other = { ...heartbeat, path: "/v1/instances/t2" };
      const startedAt = performance.now();
      const calls = [heartbeat, other].map(encodeCall);
      expect(await fixture.executeRelayed(calls)).toEqual([503, 200]);
      // The follower waits 450 ms.
      expect(performance.now() - startedAt).toBeLessThan(430);
    });

    it("are carried out with a time of an earlier process", async () => {
      const sentAt = { process: "earlier", milliseconds: 0 };
      fixture.runFor(1100);
      const order = {
        ...encodeCall(evacuation),
        receipt: { ...receipt, sentAt },
      };
      expect(await fixture.executeRelayed([order])).toEqual([200]);
    });

    it("are carried out without a receipt, as an earlier release sends them", async () => {
      const calls = unversionedCalls.map(encodeCall);
      expect(await fixture.executeRelayed(calls)).toEqual(
        calls.map(() => 200),
      );
      expect(fixture.executed[0]).toMatchObject({ knownIndex: null });
    });
  });
});
