import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type { FleetCommand, FleetOutcome } from "@kingcupglade/fleet";
import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { EvacuationOrders } from "./evacuation_orders.ts";
import type { EvacuationOrder } from "./evacuation_orders.ts";
import type { FleetReplica } from "./leader_session.ts";

/** Replica that applies commands when the test calls `commit`. */
class ManualReplica {
  readonly #machine = new FleetMachine();
  readonly #pending: (() => void)[] = [];
  state = emptyFleetState;
  appliedIndex = 10;

  propose(command: FleetCommand): Promise<FleetOutcome> {
    return new Promise((resolve) =>
      this.#pending.push(() => {
        this.appliedIndex += 1;
        const applied = this.#machine.apply(
          this.state,
          command,
          this.appliedIndex,
        );
        this.state = applied.state;
        resolve(applied.outcome);
      })
    );
  }

  async commit(): Promise<void> {
    for (const apply of this.#pending.splice(0)) apply();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("evacuation orders", () => {
  let replica: ManualReplica;
  let orders: EvacuationOrders;
  let clock: ManualClock;

  beforeEach(() => {
    replica = new ManualReplica();
    clock = new ManualClock(1000);
    orders = new EvacuationOrders({
      replica: replica as unknown as FleetReplica,
      clock,
    });
  });

  function createOrder(
    isOut: boolean,
    knownIndex: number | null = replica.appliedIndex,
  ): EvacuationOrder {
    return { dataCentre: "a", isOut, knownIndex };
  }

  async function commit(order: EvacuationOrder): Promise<string> {
    const outcome = orders.commit(order);
    await replica.commit();
    return (await outcome).kind;
  }

  it("take a data centre out and return it", async () => {
    expect(await commit(createOrder(true))).toBe("applied");
    expect(replica.state.evacuations.get("a")?.isOut).toBe(true);
    expect(await commit(createOrder(false))).toBe("applied");
    expect(replica.state.evacuations.get("a")?.isOut).toBe(false);
  });

  // A withdrawal that is relayed late must not undo a later evacuation.
  it("reverse no change that was made since the order was read", async () => {
    await commit(createOrder(true));
    const late = createOrder(false);
    await commit(createOrder(false));
    await commit(createOrder(true));
    expect(await commit(late)).toBe("overtaken");
    expect(replica.state.evacuations.get("a")?.isOut).toBe(true);
  });

  it("reverse no order that is not yet applied", async () => {
    await commit(createOrder(true));
    const late = createOrder(false);
    const repeated = orders.commit(createOrder(true));
    expect(await commit(late)).toBe("overtaken");
    expect((await repeated).kind).toBe("applied");
  });

  it("acknowledge a repeated order at any age", async () => {
    const order = createOrder(true);
    const [first, second] = [orders.commit(order), orders.commit(order)];
    await replica.commit();
    expect([(await first).kind, (await second).kind]).toEqual([
      "applied",
      "applied",
    ]);
    expect(await commit(order)).toBe("applied");
  });

  it("accept an order once the opposite one is applied", async () => {
    const first = orders.commit(createOrder(true));
    expect((await orders.commit(createOrder(false))).kind).toBe("overtaken");
    await replica.commit();
    await first;
    expect(await commit(createOrder(false))).toBe("applied");
  });

  it("affect one data centre only", async () => {
    const late = createOrder(true);
    await commit({ ...createOrder(true), dataCentre: "b" });
    expect(await commit(late)).toBe("applied");
  });

  describe("that an earlier release relays without a known index", () => {
    beforeEach(async () => {
      await commit(createOrder(true));
      clock.advance(500);
    });

    // Guards against late orders of followers that are not upgraded yet.
    it("reverse no recent change when they come once, or copies together", async () => {
      expect(await commit(createOrder(false, null))).toBe("overtaken");
      clock.advance(5);
      expect(await commit(createOrder(false, null))).toBe("overtaken");
      clock.advance(3000);
      expect(await commit(createOrder(false, null))).toBe("overtaken");
      expect(replica.state.evacuations.get("a")?.isOut).toBe(true);
    });

    it("are committed when their sender repeats them", async () => {
      expect(await commit(createOrder(false, null))).toBe("overtaken");
      clock.advance(100);
      expect(await commit(createOrder(false, null))).toBe("applied");
    });

    it("are committed at once if the last change is long ago", async () => {
      clock.advance(10_000);
      expect(await commit(createOrder(false, null))).toBe("applied");
    });

    it("are committed at once if they reverse nothing", async () => {
      expect(await commit(createOrder(true, null))).toBe("applied");
      const other = { ...createOrder(true, null), dataCentre: "b" };
      expect(await commit(other)).toBe("applied");
    });
  });
});
