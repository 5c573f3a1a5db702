import type { RangeView, TargetView } from "@kingcupglade/fleet";
import { ItemKind, RequestKind } from "@kingcupglade/items";
import type { StoredItem } from "@kingcupglade/items";
import { describe, expect, it } from "vitest";
import { GatewayTable } from "./gateway_table.ts";
import { createUpdate } from "./table_update_fixture.ts";

function route(version: number, service: string): StoredItem {
  return {
    kind: ItemKind.route,
    name: "lookup",
    version,
    source: "",
    changedAt: version,
    content: {
      kind: ItemKind.route,
      name: "lookup",
      host: "jigs.example",
      pathPrefix: "/",
      requests: RequestKind.idempotent,
      timeoutMilliseconds: 1000,
      objectiveMilliseconds: 500,
      priority: 1,
      parts: [{ service, weight: 1 }],
      maximumTargets: 2,
      homeRegions: [],
    },
  };
}

function target(name: string, more: Partial<TargetView> = {}): TargetView {
  return {
    name,
    service: "catalogue",
    address: `${name}:80`,
    dataCentre: "a",
    slots: 6,
    isLeaving: false,
    isCold: false,
    coldGateways: [],
    maximumPerSecond: null,
    limitGateways: [],
    bornAt: 0,
    ...more,
  };
}

function range(from: number, to: number, more: Partial<RangeView> = {}) {
  return {
    service: "stock",
    from,
    to,
    owner: "o",
    fence: 1,
    isMoving: false,
    ...more,
  };
}

function names(table: GatewayTable): readonly string[] {
  return table.targetsOf("catalogue").map(({ name }) => name);
}

describe("GatewayTable", () => {
  describe("configuration", () => {
    it("never reverts to an older log entry", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(9, { items: [route(9, "new")] }));
      table.apply(createUpdate(8, { items: [route(10, "stale")] }));
      expect(table.matchRoute("jigs.example", "/x")?.parts[0]?.service).toBe(
        "new",
      );
    });

    // Failure: the position of an update that failed stood for its items.
    it("requests an update again that could not be applied", () => {
      const table = new GatewayTable();
      const [odd] = [{ ...route(9, "new"), content: { kind: "route" } }];
      expect(() => table.apply(createUpdate(9, { items: [odd as StoredItem] })))
        .toThrow();
      expect(table.position.index).toBe(0);
    });

    it("removes a route that was dropped", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { items: [route(1, "catalogue")] }));
      const dropped = { ...route(2, "catalogue"), content: null };
      table.apply(createUpdate(2, { items: [dropped] }));
      expect(table.matchRoute("jigs.example", "/x")).toBeUndefined();
    });
  });

  describe("targets", () => {
    it("keeps an earlier leader's targets until the new leader reports all", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { targets: [target("a"), target("b")] }));
      table.apply(createUpdate(2, { targets: [target("b")] }));
      expect(names(table)).toEqual(["a", "b"]);
      table.apply(
        createUpdate(3, { targets: [target("b")], areTargetsComplete: true }),
      );
      expect(names(table)).toEqual(["b"]);
    });

    // Failure: silent targets got no requests after a change of leader.
    it("keeps targets that a new leader has not heard from as the last resort", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { targets: [target("a"), target("b")] }));
      table.apply(createUpdate(2, { areTargetsComplete: true }), 1000);
      expect(names(table)).toEqual(["a", "b"]);
      table.apply(createUpdate(3, { targets: [target("b")] }), 2000);
      expect(names(table)).toEqual(["b"]);
      table.apply(createUpdate(4, { departed: ["b"] }), 60_000);
      expect(names(table)).toEqual(["a"]);
      table.apply(createUpdate(5), 61_001);
      expect(names(table)).toEqual([]);
    });

    it("keeps out a departed target that a new leader does not list", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { targets: [target("a")] }));
      table.apply(createUpdate(2, { departed: ["a"] }));
      table.apply(createUpdate(3, { areTargetsComplete: true }));
      expect(names(table)).toEqual([]);
    });

    it("excludes a departed target even before a new leader reports targets", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { targets: [target("a"), target("b")] }));
      table.apply(createUpdate(2, { departed: ["a"] }));
      expect(names(table)).toEqual(["b"]);
    });

    it("assigns an address to the target that was reported last", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { targets: [target("a")] }));
      table.apply(
        createUpdate(2, { targets: [target("b", { address: "a:80" })] }),
      );
      expect(names(table)).toEqual(["b"]);
    });

    it("excludes the targets of data centres that are out", () => {
      const table = new GatewayTable();
      table.apply(
        createUpdate(1, { targets: [target("a")], dataCentresOut: ["a"] }),
      );
      expect(names(table)).toEqual([]);
    });
  });

  describe("a data centre that returned", () => {
    it("has cold targets until a leader reports them", () => {
      const table = new GatewayTable();
      table.apply(
        createUpdate(1, { targets: [target("a")], dataCentresOut: ["a"] }),
      );
      table.apply(createUpdate(2));
      expect(table.targetsOf("catalogue")).toMatchObject([{ isCold: true }]);
      table.apply(createUpdate(3, { targets: [target("a")] }));
      expect(table.targetsOf("catalogue")).toMatchObject([{ isCold: false }]);
    });
  });

  describe("ranges", () => {
    it("finds the parts of a range that was split", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { ranges: [range(0, 99), range(100, 199)] }));
      table.apply(createUpdate(2, {
        ranges: [range(0, 49), range(50, 99, { owner: "p", fence: 2 })],
      }));
      expect(table.range("stock", 49)?.owner).toBe("o");
      expect(table.range("stock", 50)?.owner).toBe("p");
      expect(table.range("stock", 150)?.from).toBe(100);
    });

    it("keeps the higher fence", () => {
      const table = new GatewayTable();
      table.apply(createUpdate(1, { ranges: [range(0, 99, { fence: 7 })] }));
      table.apply(
        createUpdate(2, { ranges: [range(0, 99, { fence: 3, owner: "x" })] }),
      );
      expect(table.range("stock", 1)?.owner).toBe("o");
    });
  });
});
