import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type {
  Announcement,
  FleetCommand,
  FleetState,
  ViewPosition,
} from "@kingcupglade/fleet";
import { ItemKind, ItemsDigest } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it, vi } from "vitest";
import { LeaderSession } from "./leader_session.ts";
import type { FleetReplica } from "./leader_session.ts";
import type { Watch } from "./watch.ts";
import { decodeWatchAnswer } from "./watch_codec.ts";

const term = 3;
const start: ViewPosition = {
  index: 0,
  term: 0,
  revision: 0,
  isComplete: false,
};

/** Replica that commits each command at once, unless it is held. */
class ImmediateReplica {
  readonly consensus = { term };
  readonly #machine = new FleetMachine();
  state: FleetState = emptyFleetState;
  appliedIndex = 10;
  /** Whether commands are neither committed nor fail. */
  isHeld = false;

  propose(command: FleetCommand): Promise<unknown> {
    if (this.isHeld) return new Promise(() => {});
    this.appliedIndex += 1;
    const applied = this.#machine.apply(
      this.state,
      command,
      this.appliedIndex,
    );
    this.state = applied.state;
    return Promise.resolve(applied.outcome);
  }
}

function heartbeat(bornAt: number, sequence: number): Announcement {
  return {
    incarnation: { target: "i-1", bornAt },
    service: "catalogue",
    address: "127.0.0.1:8400",
    dataCentre: "hsinchu-a",
    slots: 4,
    isDraining: false,
    coldMilliseconds: 0,
    sequence,
    holds: [],
    freed: [],
  };
}

function watch(overrides: Partial<Watch> = {}): Watch {
  return {
    gateway: "gateway-1",
    dataCentre: "hsinchu-a",
    region: "north",
    address: "127.0.0.2:8390",
    isLeaving: false,
    isCutOff: false,
    position: start,
    isSearch: false,
    features: [],
    quotas: [],
    demand: [],
    durations: [],
    limits: [],
    leaving: [],
    suspects: [],
    ...overrides,
  };
}

describe("LeaderSession", () => {
  let replica: ImmediateReplica;
  let session: LeaderSession;
  let clock: ManualClock;
  /** Data centres in the settings of the leader. */
  let dataCentres: Set<string>;

  beforeEach(() => {
    dataCentres = new Set(["hsinchu-a"]);
    replica = new ImmediateReplica();
    clock = new ManualClock(1000);
    session = lead();
  });

  /** Returns the session of a new leader. */
  function lead(): LeaderSession {
    return new LeaderSession({
      replica: replica as unknown as FleetReplica,
      clock,
      logger: { debug() {}, info() {}, warn() {}, error() {} },
      heartbeatMilliseconds: 1000,
      controlAddress: "127.0.0.3:8300",
      region: "north",
      regionOf: (name) => dataCentres.has(name) ? "north" : "",
      controlAddresses: () => [],
      listeners: () => [],
    });
  }

  async function update(request: Watch) {
    const answer = decodeWatchAnswer((await session.watch(request)).answer);
    if (answer.kind !== "news") throw new Error("no update");
    return answer.delta;
  }

  it("sends the digest of all items with an update that has some", async () => {
    const remove = (name: string, version: number) =>
      replica.propose({
        kind: "changeItems",
        change: {
          items: [],
          removals: [{ kind: ItemKind.route, name, version }],
        },
      });
    await remove("a", 1);
    const { position } = await update(watch());
    await remove("b", 1);
    const { items, itemsDigest } = await update(watch({ position }));
    expect(items.map(({ name }) => name)).toEqual(["b"]);
    expect(itemsDigest).toBe(ItemsDigest.of(replica.state.items.values()));
    await remove("a", 2);
    const next = await update(watch({ position }));
    expect(next.itemsDigest).not.toBe(itemsDigest);
  });

  // Failure: a leaving target received requests again after a change of leader.
  it("records that a target leaves before it has heard from it", async () => {
    const leaving = [{ target: "i-1", bornAt: 7 }];
    await update(watch({ leaving }));
    await session.handleHeartbeat(heartbeat(7, 1));
    const { targets } = await update(watch());
    expect(targets).toMatchObject([{ name: "i-1", isLeaving: true }]);
  });

  it("ignores that an earlier incarnation leaves", async () => {
    await session.handleHeartbeat(heartbeat(8, 1));
    const leaving = [{ target: "i-1", bornAt: 7 }];
    const { departed } = await update(watch({ leaving }));
    expect(departed).toEqual([]);
    const { targets } = await update(watch());
    expect(targets).toMatchObject([{ name: "i-1", isLeaving: false }]);
  });

  // Failure: "draining" was acknowledged and unknown to the next leader.
  it("acknowledges a repeated draining heartbeat only once it is committed", async () => {
    replica.isHeld = true;
    const draining = { ...heartbeat(7, 2), isDraining: true };
    void session.handleHeartbeat(draining);
    let isAcknowledged = false;
    void session.handleHeartbeat(draining).then(() => isAcknowledged = true);
    await new Promise((resolve) => setImmediate(resolve));
    expect(isAcknowledged).toBe(false);
    replica.isHeld = false;
    await session.handleHeartbeat(draining);
    expect(replica.state.departures.get("i-1")?.bornAt).toBe(7);
  });

  // Failure: a target that had said that it drains received requests on, as the
  // new leader's settings lacked its data centre.
  it("records a departure also if the heartbeat is not registered", async () => {
    await session.handleHeartbeat(heartbeat(7, 1));
    dataCentres.clear();
    const draining = { ...heartbeat(7, 2), isDraining: true };
    expect(await session.handleHeartbeat(draining)).toEqual({});
    expect(replica.state.departures.get("i-1")?.bornAt).toBe(7);
    const { targets } = await update(watch());
    expect(targets).toMatchObject([{ name: "i-1", isLeaving: true }]);
  });

  // Failure: a leader whose clock was set back acknowledged that a target drains,
  // and did not record it.
  it("neither records nor acknowledges a departure from the future", async () => {
    const bornAt = Date.now() + 7_200_000;
    const draining = { ...heartbeat(bornAt, 1), isDraining: true };
    expect(await session.handleHeartbeat(draining)).toBeNull();
    expect(replica.state.departures.size).toBe(0);
  });

  // Failure: a late departure took the target's next incarnation out of use.
  it("publishes no departure of an earlier incarnation", async () => {
    await session.handleHeartbeat(heartbeat(8, 1));
    const { position } = await update(watch());
    await session.handleDeparture("i-1", 7);
    const { departed } = await update(watch({ position }));
    expect(departed).toEqual([]);
    await session.handleDeparture("i-1", 8);
    const delta = await update(watch({ position }));
    expect(delta.departed).toEqual(["i-1"]);
  });

  describe("a departure that names no start", () => {
    /** A start on a clock that is ahead of the leader's. */
    const bornAt = Date.now() + 60_000;

    // Failure: the departure of a target that a new leader had not heard from was
    // acknowledged, and did not apply to it where the leader's clock was behind.
    it("keeps an unheard target out, and is not acknowledged", async () => {
      expect(await session.handleDeparture("i-1", null)).toBe(false);
      await session.handleHeartbeat(heartbeat(bornAt, 1));
      const { departed, targets } = await update(watch());
      expect(departed).toEqual(["i-1"]);
      expect(targets).toMatchObject([{ name: "i-1", isLeaving: true }]);
    });

    // Failure: an incomplete leader took the start of an earlier incarnation, of
    // which it had heard by a late heartbeat, for that of the target.
    it("applies to a later start than an incomplete leader knows", async () => {
      await session.handleHeartbeat(heartbeat(7, 5));
      expect(await session.handleDeparture("i-1", null)).toBe(false);
      await session.handleHeartbeat(heartbeat(8, 1));
      const { targets } = await update(watch());
      expect(targets).toMatchObject([{ bornAt: 8, isLeaving: true }]);
    });

    it("is acknowledged with the start of a target that is heard", async () => {
      await session.handleDeparture("i-1", null);
      clock.advance(2600);
      await session.handleHeartbeat(heartbeat(bornAt, 1));
      expect(await session.handleDeparture("i-1", null)).toBe(true);
      expect(replica.state.departures.get("i-1")?.bornAt).toBe(bornAt);
      await session.handleHeartbeat(heartbeat(bornAt + 10, 1));
      const { targets } = await update(watch());
      expect(targets).toMatchObject([{ isLeaving: false }]);
    });

    // Guards against an acknowledgement of what is in no log.
    it("is not acknowledged while its entry is not committed", async () => {
      const requestedAt = Date.now();
      clock.advance(2600);
      replica.isHeld = true;
      void session.handleDeparture("i-1", null);
      clock.advance(2600);
      let isAcknowledged = false;
      void session.handleDeparture("i-1", null).then((isDone) =>
        isAcknowledged = isDone
      );
      await new Promise((resolve) => setImmediate(resolve));
      expect(isAcknowledged).toBe(false);
      replica.isHeld = false;
      expect(await session.handleDeparture("i-1", null)).toBe(true);
      const named = replica.state.departures.get("i-1")!.bornAt;
      expect(named).toBeGreaterThanOrEqual(requestedAt);
      expect(named).toBeLessThanOrEqual(Date.now());
    });

    it("is acknowledged if nobody is heard under the name", async () => {
      clock.advance(2600);
      expect(await session.handleDeparture("i-1", null)).toBe(false);
      clock.advance(2600);
      expect(await session.handleDeparture("i-1", null)).toBe(true);
    });

    // Failure: where the leader's clock was ahead, the departure also applied to
    // the target's next incarnation.
    it("does not apply to an incarnation that is there a minute later", async () => {
      await session.handleDeparture("i-1", null);
      clock.advance(61_000);
      await session.handleHeartbeat(heartbeat(Date.now() - 60_000, 1));
      const { targets } = await update(watch());
      expect(targets).toMatchObject([{ isLeaving: false }]);
    });

    /** Has the departure acknowledged by a leader that has heard nobody. */
    async function departUnheard(): Promise<void> {
      clock.advance(2600);
      await session.handleDeparture("i-1", null);
      clock.advance(2600);
      expect(await session.handleDeparture("i-1", null)).toBe(true);
    }

    // Failure: a target whose departure a leader had acknowledged without having
    // heard from it was used again by the next leader.
    it("binds the next leader if nobody was heard under the name", async () => {
      await departUnheard();
      session = lead();
      await session.handleHeartbeat(heartbeat(Date.now() - 60_000, 9));
      const { targets } = await update(watch());
      expect(targets).toMatchObject([{ name: "i-1", isLeaving: true }]);
    });

    // Guards against an acknowledgement for the first request's incarnation alone,
    // where the target started again before the last one.
    it("binds the next leader for starts up to the last request", async () => {
      const now = Date.now();
      const dates = vi.spyOn(Date, "now").mockReturnValue(now);
      clock.advance(2600);
      await session.handleDeparture("i-1", null);
      clock.advance(2600);
      dates.mockReturnValue(now + 2600);
      expect(await session.handleDeparture("i-1", null)).toBe(true);
      dates.mockRestore();
      session = lead();
      await session.handleHeartbeat(heartbeat(now + 2500, 1));
      const { targets } = await update(watch());
      expect(targets).toMatchObject([{ name: "i-1", isLeaving: true }]);
    });

    // Guards against a departure that binds leaders for longer than it is meant.
    it("lets the next leader use an incarnation that starts later", async () => {
      await departUnheard();
      session = lead();
      await session.handleHeartbeat(heartbeat(bornAt, 1));
      const { targets } = await update(watch());
      expect(targets).toMatchObject([{ name: "i-1", isLeaving: false }]);
    });

    // Guards against an acknowledged departure that the latest possible start of
    // the log seems to cover, of an incarnation that this leader uses.
    it("does not hide that a later incarnation leaves", async () => {
      await departUnheard();
      clock.advance(61_000);
      const later = Date.now() - 60_000;
      await session.handleHeartbeat(heartbeat(later, 1));
      const { position, targets } = await update(watch());
      expect(targets).toMatchObject([{ isLeaving: false }]);
      expect(await session.handleDeparture("i-1", later)).toBe(true);
      expect((await update(watch({ position }))).departed).toEqual(["i-1"]);
      await session.handleHeartbeat(heartbeat(later, 2));
      expect((await update(watch())).targets).toMatchObject([{
        isLeaving: true,
      }]);
    });
  });
});
