import { ExchangeEnd } from "@kingcupglade/dispatch";
import type { TargetView, ViewDelta } from "@kingcupglade/fleet";
import { ItemKind, RequestKind } from "@kingcupglade/items";
import type { ItemContent, StoredItem } from "@kingcupglade/items";
import { encodeValue } from "@kingcupglade/protocol";
import { ManualClock } from "@kingcupglade/tasks";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createMetrics } from "@kingcupglade/telemetry";
import { GatewayTable } from "../table/gateway_table.ts";
import { decodeSlotMessage, encodeSlotMessage } from "./slot_messages.ts";
import type { SlotMessage } from "./slot_messages.ts";
import { SlotManager } from "./slot_manager.ts";
import type { SlotManagerOptions } from "./slot_manager.ts";
import { SlotClient } from "./slot_client.ts";
import type { SlotTicket } from "./slot_client.ts";
import { createUpdate } from "../table/table_update_fixture.ts";
import { TargetLimits } from "../targets/target_limits.ts";
import { Chooser } from "../targets/target_paces.ts";
import { TargetSelector } from "../targets/target_selector.ts";

const silentLogger = { debug() {}, info() {}, warn() {}, error() {} };
const secret = "unguarded";
const managerAddress = "10.0.0.1:7720";
const slots = 2;
/** A target may have one request beyond its slots. */
const maximumAtTarget = slots + 1;

function item(content: ItemContent): StoredItem {
  const { kind, name } = content;
  return { kind, name, version: 1, content, source: "", changedAt: 1 };
}

function target(name: string): TargetView {
  return {
    name,
    service: "catalogue",
    address: `${name}:80`,
    dataCentre: "a",
    slots,
    isLeaving: false,
    isCold: false,
    coldGateways: [],
    maximumPerSecond: null,
    limitGateways: [],
    bornAt: 0,
  };
}

function deltaOf(targets: readonly TargetView[]): ViewDelta {
  return {
    position: { index: 1, term: 1, revision: 1, isComplete: true },
    items: [
      item({
        kind: ItemKind.service,
        name: "catalogue",
        maximumConnections: 100,
        coldMilliseconds: 0,
        coldPerSecond: 0,
        loadPath: "",
        isKeyed: false,
      }),
      item({
        kind: ItemKind.route,
        name: "lookup",
        host: "jigs.example",
        pathPrefix: "/",
        requests: RequestKind.idempotent,
        timeoutMilliseconds: 5000,
        objectiveMilliseconds: 1000,
        priority: 1,
        parts: [{ service: "catalogue", weight: 1 }],
        maximumTargets: 2,
        homeRegions: [],
      }),
    ],
    itemsDigest: null,
    tableDigest: null,
    dataCentresOut: [],
    departed: [],
    targets,
    areTargetsComplete: true,
    removedTargets: [],
    ranges: [],
    gateways: 100,
    relays: null,
    managers: [],
    suspects: null,
    control: null,
  };
}

function tableOf(targets: readonly TargetView[]): GatewayTable {
  const table = new GatewayTable();
  table.apply(deltaOf(targets));
  return table;
}

/** Events of one slot request. */
interface RequestEvents {
  granted: string[];
  waits: number;
  /** Expected wait in milliseconds, as last told. */
  expectedWait: number;
  refused: number;
  late: number;
  unavailable: number;
  ticket: SlotTicket;
}

/** Gateways and a manager on a network that drops and duplicates datagrams. */
class SlotSimulation {
  readonly clock = new ManualClock(1000);
  readonly limits = new TargetLimits({
    clock: this.clock,
    logger: silentLogger,
  });
  readonly table: GatewayTable;
  readonly manager: SlotManager;
  /** Requests in progress at each target. */
  readonly atTargets = new Map<string, number>();
  highestAtTarget = 0;
  isManagerSilent = false;
  /** Limit that every response names, in requests per second; null for none. */
  limit: number | null = null;
  /** Slots that the manager logged as not returned. */
  notReturned = 0;
  readonly #selector: TargetSelector;
  readonly #random: () => number;
  readonly #loss: number;
  readonly #clients = new Map<string, SlotClient>();

  constructor(options: { seed?: number; loss?: number; targets?: number }) {
    const generator = xoroshiro128plus(options.seed ?? 1);
    this.#random = () => (generator.next() >>> 0) / 2 ** 32;
    this.#loss = options.loss ?? 0;
    this.table = tableOf(
      Array.from({ length: options.targets ?? 1 }, (_, at) => target(`t${at}`)),
    );
    const { table } = this;
    this.#selector = new TargetSelector({
      synchronizer: { table, millisecondsSinceContact: () => 0 } as never,
      clock: this.clock,
      random: this.#random,
      name: "front-1",
      dataCentre: "a",
      region: "north",
      regions: { a: "north" },
      retryBudget: { ratio: 0.2, windowMilliseconds: 10_000, slack: 10 },
      gatewayCount: () => 1,
      limits: this.limits,
      limitSharers: () => 1,
      pacing: {
        chooser: Chooser.manager,
        isPaced: () => true,
        logger: silentLogger,
        metrics: createMetrics(),
      },
    });
    this.#selector.handleTableChange();
    this.manager = this.createManager((message, to) =>
      this.#transmit(
        message,
        (received) => this.#clients.get(to)?.receive(received, managerAddress),
      )
    );
  }

  /** Creates a manager of all targets of the table. */
  createManager(send: SlotManagerOptions["send"]): SlotManager {
    const { table } = this;
    return new SlotManager({
      selector: this.#selector,
      limits: this.limits,
      table: () => table,
      loadProber: { probe: () => Promise.resolve() },
      callerDeadlines: { isKnown: () => false },
      send,
      clock: this.clock,
      logger: { ...silentLogger, info: () => void (this.notReturned += 1) },
    });
  }

  /** Replaces the targets in the table. */
  setTargets(targets: readonly TargetView[]): void {
    this.table.apply(deltaOf(targets));
    this.#selector.handleTableChange();
  }

  gateway(peer: string): SlotClient {
    const existing = this.#clients.get(peer);
    if (existing) return existing;
    const client = new SlotClient({
      send: (message) =>
        this.#transmit(message, (copy) => {
          if (this.isManagerSilent) return;
          if (copy.kind === "request") this.manager.handleRequest(copy, peer);
          if (copy.kind === "end") this.manager.end(copy, peer);
        }),
      clock: this.clock,
      logger: silentLogger,
      random: this.#random,
    });
    this.#clients.set(peer, client);
    return client;
  }

  requestSlot(
    address: string,
    workMilliseconds = 200,
    leftMilliseconds = 5000,
  ): RequestEvents {
    const events: RequestEvents = {
      granted: [],
      waits: 0,
      expectedWait: 0,
      refused: 0,
      late: 0,
      unavailable: 0,
      ticket: { end: () => {} },
    };
    events.ticket = this.gateway(address).requestSlot(managerAddress, {
      route: "lookup",
      service: "catalogue",
      position: null,
      tried: [],
      only: null,
      isHedge: false,
      ageMilliseconds: 0,
      leftMilliseconds,
    }, {
      granted: (name) => {
        events.granted.push(name);
        const count = (this.atTargets.get(name) ?? 0) + 1;
        this.atTargets.set(name, count);
        this.highestAtTarget = Math.max(this.highestAtTarget, count);
        setTimeout(() => {
          this.atTargets.set(name, this.atTargets.get(name)! - 1);
          events.ticket.end({
            end: ExchangeEnd.answered,
            durationMilliseconds: workMilliseconds,
            load: null,
            isHeld: null,
            maximumPerSecond: this.limit,
          });
        }, workMilliseconds);
      },
      waits: (milliseconds) => {
        events.waits += 1;
        events.expectedWait = milliseconds;
      },
      refused: () => void (events.refused += 1),
      late: () => void (events.late += 1),
      unavailable: () => void (events.unavailable += 1),
    });
    return events;
  }

  async run(milliseconds: number): Promise<void> {
    for (let at = 0; at < milliseconds; at += 5) {
      this.clock.advance(5);
      await vi.advanceTimersByTimeAsync(5);
      if (at % 1000 === 0) this.manager.releaseExpired();
    }
  }

  #transmit(
    message: SlotMessage,
    deliver: (message: SlotMessage) => void,
  ): void {
    const copies = this.#random() < this.#loss
      ? 0
      : this.#random() < this.#loss
      ? 2
      : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const received = decodeSlotMessage(
        encodeSlotMessage(message, secret),
        secret,
      );
      setTimeout(() => deliver(received), 1 + this.#random() * 20);
    }
  }
}

describe("slots of managed targets", () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it("are granted one after the other at first, if the target is new", async () => {
    // Each of the gateways would otherwise get a slot at the same moment.
    const simulation = new SlotSimulation({});
    simulation.setTargets([{ ...target("t0"), bornAt: 1 }]);
    simulation.setTargets([{ ...target("t0"), bornAt: 2 }]);
    for (let at = 0; at < 6; at += 1) {
      simulation.requestSlot(`10.0.1.${at}:7720`);
    }
    await simulation.run(150);
    expect(simulation.highestAtTarget).toBe(1);
    // After one response in time, the bound equals the slots.
    await simulation.run(200);
    expect(simulation.highestAtTarget).toBe(maximumAtTarget);
  });

  it("are granted while available, and later requests wait", async () => {
    const simulation = new SlotSimulation({});
    const requests = Array.from(
      { length: 6 },
      (_, at) => simulation.requestSlot(`10.0.1.${at}:7720`),
    );
    await simulation.run(100);
    expect(requests.filter(({ granted }) => granted.length === 1))
      .toHaveLength(maximumAtTarget);
    expect(requests.filter(({ waits }) => waits > 0))
      .toHaveLength(6 - maximumAtTarget);
    await simulation.run(1000);
    expect(requests.every(({ granted }) => granted.length === 1)).toBe(true);
    expect(simulation.highestAtTarget).toBe(maximumAtTarget);
    expect(simulation.manager.size).toBe(0);
  });

  it("are granted within the limit that the target names, and freely after it", async () => {
    const simulation = new SlotSimulation({ loss: 0.02 });
    simulation.limit = 1;
    const requests: { readonly at: number; readonly events: RequestEvents }[] =
      [];
    const grantsBetween = (from: number, to: number) =>
      requests.filter(({ at, events }) =>
        at >= from && at < to && events.granted.length > 0
      ).length;
    const run = async (milliseconds: number) => {
      for (let at = 0; at < milliseconds; at += 50) {
        const address = `10.0.1.${requests.length % 20}:7720`;
        const events = simulation.requestSlot(address, 100, 400);
        requests.push({ at: simulation.clock.now(), events });
        await simulation.run(50);
      }
    };
    await run(9000);
    const start = requests[0]!.at;
    const limited = grantsBetween(start + 1000, start + 9000);
    expect(limited).toBeGreaterThanOrEqual(4);
    expect(limited).toBeLessThanOrEqual(8);
    simulation.limit = null;
    await run(4000);
    expect(grantsBetween(start + 11_000, start + 13_000)).toBeGreaterThan(20);
  });

  it("are announced with the wait that the limits of all targets cause", async () => {
    const simulation = new SlotSimulation({ targets: 2 });
    const limit = (target: string, perSecond: number) =>
      simulation.limits.record({
        target,
        request: "",
        perSecond,
        isConclusive: true,
        sentAt: simulation.clock.now(),
      });
    limit("t0", 1);
    limit("t1", 1);
    const requests = Array.from(
      { length: 3 },
      (_, at) => simulation.requestSlot(`10.0.1.${at}:7720`, 100, 5000),
    );
    await simulation.run(100);
    const waits = requests.filter(({ granted }) => granted.length === 0)
      .map(({ expectedWait }) => expectedWait);
    expect(waits.length).toBeGreaterThan(0);
    for (const wait of waits) expect(wait).toBeGreaterThan(200);
  });

  it("are not granted to a request that was cancelled", async () => {
    const simulation = new SlotSimulation({});
    const requests = Array.from(
      { length: 5 },
      (_, at) => simulation.requestSlot(`10.0.1.${at}:7720`, 2000),
    );
    await simulation.run(100);
    const waiting = requests.filter(({ granted }) => granted.length === 0);
    for (const { ticket } of waiting) ticket.end(null);
    await simulation.run(100);
    expect(simulation.manager.size).toBe(maximumAtTarget);
  });

  it("are released when the gateway that held them is gone", async () => {
    const simulation = new SlotSimulation({});
    for (let at = 0; at < maximumAtTarget; at += 1) {
      simulation.requestSlot(`10.0.1.${at}:7720`, 60_000);
    }
    await simulation.run(300);
    const late = simulation.requestSlot("10.0.2.1:7720");
    await simulation.run(900);
    expect(late.granted).toHaveLength(0);
    await simulation.run(1500);
    expect(late.granted).toHaveLength(1);
    expect(simulation.notReturned).toBe(maximumAtTarget);
  });

  it("are not logged as unreturned for a refused request, which expires soon", async () => {
    const simulation = new SlotSimulation({});
    for (let at = 0; at < maximumAtTarget; at += 1) {
      simulation.requestSlot(`10.0.1.${at}:7720`, 4000);
    }
    await simulation.run(50);
    const events = simulation.requestSlot("10.0.2.1:7720", 200, 100);
    await simulation.run(1300);
    simulation.manager.releaseExpired();
    expect(events.refused).toBe(1);
    expect(simulation.manager.size).toBe(maximumAtTarget);
    expect(simulation.notReturned).toBe(0);
  });

  it("are reported as unavailable when the manager does not reply", async () => {
    const simulation = new SlotSimulation({});
    simulation.isManagerSilent = true;
    const events = simulation.requestSlot("10.0.1.1:7720");
    const client = simulation.gateway("10.0.1.1:7720");
    await simulation.run(100);
    expect(events.late).toBe(1);
    await simulation.run(500);
    expect(events.unavailable).toBe(1);
    expect(client.isHealthy(managerAddress)).toBe(true);
    // The manager has been silent for longer than its link can delay replies.
    simulation.requestSlot("10.0.1.1:7720");
    await simulation.run(500);
    expect(client.isHealthy(managerAddress)).toBe(false);
    await simulation.run(500);
    expect(client.isHealthy(managerAddress)).toBe(true);
  });

  it("that are granted after the request ended are released", async () => {
    const simulation = new SlotSimulation({});
    simulation.isManagerSilent = true;
    simulation.requestSlot("10.0.1.1:7720");
    await simulation.run(400);
    simulation.isManagerSilent = false;
    simulation.manager.handleRequest({
      kind: "request",
      id: 12,
      route: "lookup",
      service: "catalogue",
      position: null,
      tried: [],
      only: null,
      isHedge: false,
      ageMilliseconds: 0,
      leftMilliseconds: 5000,
    }, "10.0.1.1:7720");
    expect(simulation.manager.size).toBe(1);
    await simulation.run(200);
    expect(simulation.manager.size).toBe(0);
  });

  it("are granted once per request and never leak, despite lost and duplicate datagrams", async () => {
    for (let seed = 1; seed <= 25; seed += 1) {
      const simulation = new SlotSimulation({ seed, loss: 0.2, targets: 3 });
      const requests = Array.from(
        { length: 40 },
        (_, at) => simulation.requestSlot(`10.0.1.${at % 7}:7720`, 50 + at * 5),
      );
      await simulation.run(9000);
      for (const { granted, refused, unavailable } of requests) {
        expect(granted.length + refused + unavailable).toBe(1);
      }
      expect(requests.filter(({ unavailable }) => unavailable > 0).length)
        .toBeLessThan(
          8,
        );
      expect(simulation.manager.size).toBe(0);
      for (const count of simulation.atTargets.values()) expect(count).toBe(0);
    }
  });
});

describe("a slot request of a workspace", () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  // Guards against a manager that knows the route's name alone, and grants slots
  // outside the regions of the workspace.
  it.each(
    [
      [["north"], [], "grant"],
      [["north"], ["north", "south"], "grant"],
      [["south"], [], "wait"],
      [["south"], ["north"], "refuse"],
    ] as const,
  )("is bound to %j and the route's %j: %s", (own, ofRoute, kind) => {
    const simulation = new SlotSimulation({});
    const { table } = simulation;
    const lookup = table.routeNamed("lookup")!;
    table.apply(createUpdate(9, {
      items: [
        { ...item({ ...lookup, homeRegions: ofRoute }), version: 2 },
        item({
          kind: ItemKind.workspace,
          name: "acme",
          keyDigests: ["a".repeat(64)],
          priority: 0,
          ratePerSecond: 0,
          burst: 0,
          homeRegions: own,
        }),
      ],
    }));
    const replies: SlotMessage[] = [];
    const manager = simulation.createManager((reply) => replies.push(reply));
    const request = {
      kind: "request",
      route: "lookup",
      service: "catalogue",
      position: null,
      tried: [],
      only: null,
      isHedge: false,
      ageMilliseconds: 0,
      leftMilliseconds: 5000,
    } as const;
    manager.handleRequest({ ...request, id: 1, workspace: "acme" }, "g");
    expect(replies[0]).toMatchObject({ kind });
    // A manager whose table lacks the workspace cannot tell.
    manager.handleRequest({ ...request, id: 2, workspace: "other" }, "g");
    expect(replies.at(-1)).toMatchObject({ kind: "refuse", isUnknown: true });
  });
});

describe("slot messages", () => {
  it("that are malformed or lack the secret are rejected", () => {
    const message: SlotMessage = { kind: "wait", id: 3, waitMilliseconds: 4 };
    const bytes = encodeSlotMessage(message, secret);
    expect(decodeSlotMessage(bytes, secret)).toEqual(message);
    expect(() => decodeSlotMessage(bytes, "another")).toThrow(/no message/);
    expect(() => decodeSlotMessage(Uint8Array.of(1, 2), secret)).toThrow();
    expect(() =>
      decodeSlotMessage(
        encodeValue([secret, { kind: "wait", id: 1 }]),
        secret,
      )
    ).toThrow();
    expect(() => decodeSlotMessage(encodeValue([secret, [9, 1]]), secret))
      .toThrow(/no message/);
  });

  it("are encoded in few bytes and decoded unchanged", () => {
    const messages: readonly SlotMessage[] = [
      {
        kind: "request",
        id: 2 ** 40,
        route: "r-6x73d3z",
        service: "huvo11a",
        position: 4711,
        tried: ["i-7f3a91c2"],
        only: null,
        isHedge: false,
        ageMilliseconds: 12,
        leftMilliseconds: 2400,
      },
      {
        kind: "request",
        id: 7,
        route: "r",
        service: "s",
        position: null,
        tried: [],
        only: null,
        isHedge: false,
        ageMilliseconds: 12,
        leftMilliseconds: 2400,
        workspace: "acme",
      },
      { kind: "grant", id: 1, target: "i-7f3a91c2" },
      { kind: "wait", id: 1, waitMilliseconds: 30 },
      {
        kind: "refuse",
        id: 1,
        reason: "no room in time",
        waitMilliseconds: 30,
        isUnknown: false,
      },
      {
        kind: "end",
        id: 1,
        use: {
          end: ExchangeEnd.answered,
          durationMilliseconds: 310,
          load: { running: 2, waiting: 0, slots: 6, slowdown: 1.5 },
          isHeld: true,
          maximumPerSecond: null,
        },
      },
      {
        kind: "end",
        id: 1,
        use: {
          end: ExchangeEnd.failed,
          durationMilliseconds: 310,
          load: null,
          isHeld: null,
          maximumPerSecond: 2.2,
        },
      },
      { kind: "end", id: 1, use: null },
    ];
    for (const message of messages) {
      const bytes = encodeSlotMessage(message, secret);
      expect(decodeSlotMessage(bytes, secret)).toEqual(message);
      expect(bytes.length).toBeLessThan(80);
    }
  });
});
