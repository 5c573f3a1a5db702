import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type {
  Announcement,
  FleetCommand,
  ViewDelta,
  ViewPosition,
} from "@kingcupglade/fleet";
import { decodeWatchAnswer, ownFeatures } from "@kingcupglade/fleet_control";
import { ItemKind } from "@kingcupglade/items";
import type { Service, StoredItem } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LeaderSession } from "../../fleet_control/leader_session.ts";
import { emptyPosition, GatewayTable } from "./gateway_table.ts";

const dataCentre = "hsinchu-a";
const service: Service = {
  kind: ItemKind.service,
  name: "catalogue",
  maximumConnections: 100,
  coldMilliseconds: 0,
  coldPerSecond: 0,
  isKeyed: false,
  loadPath: "",
};

/** Replica that commits each command at once. */
class ImmediateReplica {
  readonly consensus = { term: 3 };
  readonly #machine = new FleetMachine();
  state = emptyFleetState;
  appliedIndex = 10;

  propose(command: FleetCommand): Promise<unknown> {
    this.appliedIndex += 1;
    const { state, outcome } = this.#machine.apply(
      this.state,
      command,
      this.appliedIndex,
    );
    this.state = state;
    return Promise.resolve(outcome);
  }

  /** Changes the content of the service under its version. */
  corrupt(): void {
    const [[id, stored]] = [...this.state.items] as [[string, StoredItem]];
    const content = { ...service, maximumConnections: 7 };
    const items = new Map(this.state.items).set(id, { ...stored, content });
    this.state = { ...this.state, items };
  }
}

function heartbeat(target: string, sequence: number): Announcement {
  return {
    incarnation: { target, bornAt: 7 },
    service: "catalogue",
    address: `${target}:80`,
    dataCentre,
    slots: 4,
    isDraining: false,
    coldMilliseconds: 0,
    sequence,
    holds: [],
    freed: [],
  };
}

describe("the digest of a table", () => {
  let clock: ManualClock;
  let replica: ImmediateReplica;
  let session: LeaderSession;
  let table: GatewayTable;
  /** Update of the leader before it knew all targets. */
  let early: ViewDelta;

  beforeEach(async () => {
    clock = new ManualClock(1000);
    replica = new ImmediateReplica();
    session = new LeaderSession({
      replica: replica as never,
      clock,
      logger: { debug() {}, info() {}, warn() {}, error() {} },
      heartbeatMilliseconds: 1000,
      controlAddress: "127.0.0.3:8300",
      region: "north",
      regionOf: () => "north",
      controlAddresses: () => [],
      listeners: () => [],
    });
    table = new GatewayTable();
    await replica.propose({
      kind: "changeItems",
      change: {
        items: [{ version: 1, content: service, source: "" }],
        removals: [],
      },
    });
    await session.handleHeartbeat(heartbeat("a", 1));
    await session.handleHeartbeat(heartbeat("b", 1));
    early = await update();
    clock.advance(2600);
    table.apply(await update());
  });

  afterEach(() => session.end());

  async function update(
    position: ViewPosition = table.position,
  ): Promise<ViewDelta> {
    const answering = session.watch({
      gateway: "g",
      dataCentre,
      region: "north",
      address: "127.0.0.2:8390",
      isLeaving: false,
      isCutOff: false,
      position,
      isSearch: false,
      features: ownFeatures,
      quotas: [],
      demand: [],
      durations: [],
      limits: [],
      leaving: [],
      suspects: [],
    });
    session.end();
    const answer = decodeWatchAnswer((await answering).answer);
    if (answer.kind !== "news") throw new Error("no update");
    return answer.delta;
  }

  /** Applies the next update without what `lost` names; returns its digest. */
  async function applyWithout(
    lost: Partial<ViewDelta>,
  ): Promise<number | null> {
    const delta = await update();
    table.apply({ ...delta, ...lost });
    return delta.tableDigest;
  }

  it("is the leader's after each change", async () => {
    await session.handleDeparture("a", 7);
    expect(await applyWithout({})).toBe(table.digest);
    await session.handleHeartbeat({ ...heartbeat("b", 2), slots: 9 });
    expect(await applyWithout({})).toBe(table.digest);
    clock.advance(61_000);
    session.tick();
    expect(await applyWithout({})).toBe(table.digest);
    expect(table.target("b")).toBeUndefined();
  });

  it("is not sent before the leader knows all targets", () => {
    expect(early.tableDigest).toBeNull();
  });

  // Guards against a digest that evacuations would need too.
  it("is not needed for evacuations, which each update names", async () => {
    await session.evacuate({ dataCentre, isOut: true, knownIndex: null });
    await applyWithout({ dataCentresOut: [] });
    expect(table.targetsOf("catalogue")).toHaveLength(2);
    await applyWithout({});
    expect(table.targetsOf("catalogue")).toEqual([]);
  });

  const losses: readonly {
    readonly what: string;
    readonly change: () => Promise<unknown>;
    readonly lost: Partial<ViewDelta>;
  }[] = [{
    what: "a departure",
    change: () => session.handleDeparture("a", 7),
    lost: { departed: [], targets: [] },
  }, {
    what: "a change of a target",
    change: () => session.handleHeartbeat({ ...heartbeat("a", 2), slots: 9 }),
    lost: { targets: [] },
  }, {
    what: "a target",
    change: () => session.handleHeartbeat(heartbeat("c", 1)),
    lost: { targets: [] },
  }, {
    what: "the end of a target",
    change: async () => {
      clock.advance(40_000);
      await session.handleHeartbeat(heartbeat("b", 2));
      clock.advance(21_000);
      session.tick();
    },
    lost: { removedTargets: [] },
  }, {
    what: "the content of an item",
    change: () => {
      replica.corrupt();
      return session.handleHeartbeat(heartbeat("c", 1));
    },
    lost: {},
  }];

  // Failure: a gateway that had missed one of these took its table for a current
  // one for good.
  it.each(losses)(
    "tells that an update left out $what, which a whole table mends",
    async ({ change, lost }) => {
      await change();
      expect(await applyWithout(lost)).not.toBe(table.digest);
      const whole = await update(emptyPosition);
      table.apply(whole);
      expect(table.digest).toBe(whole.tableDigest);
    },
  );
});
