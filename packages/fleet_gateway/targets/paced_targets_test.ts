import { ExchangeEnd } from "@kingcupglade/dispatch";
import type { TargetView, ViewDelta } from "@kingcupglade/fleet";
import { ItemKind, RequestKind } from "@kingcupglade/items";
import type { ItemContent, Route, StoredItem } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { beforeEach, describe, expect, it } from "vitest";
import { GatewayTable } from "../table/gateway_table.ts";
import { Chooser } from "./target_paces.ts";
import { TargetSelector } from "./target_selector.ts";

const gatewayCount = 88;
const slots = 2;
/** Requests that a target can hold in its slots and its queue. */
const capacity = slots + 8;
const silentLogger = { debug() {}, info() {}, warn() {}, error() {} };

const route: Route = {
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
};

function item(content: ItemContent): StoredItem {
  const { kind, name } = content;
  return { kind, name, version: 1, content, source: "", changedAt: 1 };
}

function view(name: string): TargetView {
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
    bornAt: 1,
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
      item(route),
    ],
    itemsDigest: null,
    tableDigest: null,
    dataCentresOut: [],
    departed: [],
    targets,
    areTargetsComplete: true,
    removedTargets: [],
    ranges: [],
    gateways: gatewayCount,
    relays: null,
    managers: [],
    suspects: null,
    control: null,
  };
}

/**
 * With the new one, so many targets that their queues can hold one request of
 * each gateway.
 */
const established = Array.from({ length: 11 }, (_, at) => view(`t${at}`));

describe("gateways that choose targets themselves", () => {
  let table: GatewayTable;
  let clock: ManualClock;

  beforeEach(() => {
    table = new GatewayTable();
    table.apply(deltaOf(established));
    clock = new ManualClock(1000);
  });

  function createGateway(
    index: number,
    isPacing: boolean,
    limited: ReadonlySet<string> = new Set(),
  ): TargetSelector {
    const selector = new TargetSelector({
      synchronizer: { table, millisecondsSinceContact: () => 0 } as never,
      clock,
      random: () => index / gatewayCount,
      name: `gateway-${index}`,
      dataCentre: "a",
      region: "north",
      regions: { a: "north" },
      retryBudget: { ratio: 0.2, windowMilliseconds: 10_000, slack: 10 },
      gatewayCount: () => gatewayCount,
      limits: {
        of: (name) =>
          limited.has(name) ? { perSecond: 1, learnedAt: 0 } : undefined,
      },
      limitSharers: () => 0,
      ...(isPacing && {
        pacing: {
          chooser: Chooser.gateway,
          isPaced: () => true,
          logger: silentLogger,
          metrics: createMetrics(),
        },
      }),
    });
    selector.handleTableChange();
    // Every other target is busy.
    for (const { name } of established) {
      selector.record(name).report(
        { running: slots, waiting: 1, slots, slowdown: 1 },
        clock.now(),
      );
    }
    return selector;
  }

  function select(selector: TargetSelector, tried = new Set<string>()) {
    const request = { route, service: "catalogue", position: undefined };
    selector.recordReceived(request);
    const selection = selector.select({
      ...request,
      tried,
      objectiveAt: clock.now() + 1000,
    });
    if (selection.kind === "found") selection.record.begin();
    return selection;
  }

  /** Returns how many of all gateways choose a new target at one moment. */
  function countAtNewTarget(isPacing: boolean): number {
    const gateways = Array.from(
      { length: gatewayCount },
      (_, index) => createGateway(index, isPacing),
    );
    table.apply(deltaOf([...established, view("new")]));
    for (const gateway of gateways) gateway.handleTableChange();
    return gateways.filter((gateway) => {
      const selection = select(gateway);
      return selection.kind === "found" && selection.target.name === "new";
    }).length;
  }

  it("do not all send to a new target at the same moment", () => {
    expect(countAtNewTarget(true)).toBeLessThanOrEqual(capacity);
    expect(countAtNewTarget(true)).toBeGreaterThan(0);
  });

  it("all send to a new target if targets are not paced", () => {
    expect(countAtNewTarget(false)).toBe(gatewayCount);
  });

  it("wait for a paced target instead of refusing the request", () => {
    const gateway = createGateway(0, true);
    table.apply(deltaOf([...established, view("new")]));
    gateway.handleTableChange();
    const tried = new Set(established.map(({ name }) => name));
    expect(select(gateway, tried).kind).toBe("wait");
  });

  it("send a target whose share is due no more than its limit allows", () => {
    // This gateway is not among those that share the limit.
    const limited = createGateway(87, true, new Set(["new"]));
    const unlimited = createGateway(87, true);
    table.apply(deltaOf([...established, view("new")]));
    for (const gateway of [limited, unlimited]) gateway.handleTableChange();
    expect(select(unlimited)).toMatchObject({ target: { name: "new" } });
    for (let count = 0; count < 5; count += 1) {
      expect(select(limited).kind).toBe("wait");
    }
  });

  it("do not hedge at a paced target", () => {
    const gateway = createGateway(0, true);
    table.apply(deltaOf([...established, view("new")]));
    gateway.handleTableChange();
    const hedge = { route, service: "catalogue", tried: new Set<string>() };
    expect(gateway.selectIdle(hedge)).toBeUndefined();
    const record = gateway.record("new");
    record.begin();
    record.end(ExchangeEnd.answered, {
      now: clock.now(),
      durationMilliseconds: 250,
      expectedMilliseconds: 250,
    });
    expect(gateway.selectIdle(hedge)?.target.name).toBe("new");
  });
});
