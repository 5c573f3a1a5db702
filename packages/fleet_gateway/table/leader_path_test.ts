import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import type { TargetIncarnation } from "@kingcupglade/fleet";
import {
  decodeWatch,
  encodeWatchAnswer,
  PeerClients,
} from "@kingcupglade/fleet_control";
import type { Watch, WatchAnswer } from "@kingcupglade/fleet_control";
import { Fleet } from "@kingcupglade/protocol";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { UnaryServices } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { TableSynchronizer } from "./table_synchronizer.ts";
import { createUpdate } from "./table_update_fixture.ts";

const secret = "unguarded";
const holdMilliseconds = 600;
/** Time after which the path to the leader works again. */
const cutMilliseconds = 6000;
/** Time from an acknowledgement until a change is in force. */
const targetMilliseconds = 2000;

/** How the path between the gateway and the leader fails. */
const PathFault = {
  /** Nothing arrives, and connections stay open. */
  silent: "silent",
  /** Connections are reset. */
  refused: "refused",
  /** Requests arrive, and their responses do not. */
  oneWay: "one way",
  /** Searches are answered, and updates are not. */
  updatesOnly: "updates only",
} as const;
type PathFault = typeof PathFault[keyof typeof PathFault];

/** What the leader of the test knows, and the term in which it leads. */
class FleetState {
  index = 1;
  term = 1;
  leader = 0;
}

/** A control VM; it passes requests on to the leader if it is asked to. */
class FakeControl {
  readonly address: string;
  #fault: PathFault | null = null;
  /** Whether it is of a release that passes nothing on. */
  isOfEarlierRelease = false;
  /** Whether it passes searches on, and answers watches with the leader's name. */
  isFull = false;
  /** Whether it passes searches on, and leaves watches without a response. */
  isHanging = false;
  /** Time until each of its updates begins. */
  updateDelayMilliseconds = 0;
  /** Watches that were answered here as the leader, directly or passed on. */
  readonly watches: Watch[] = [];
  readonly #server: Server;
  readonly #state: FleetState;
  readonly #controls: readonly FakeControl[];

  constructor(
    at: number,
    state: FleetState,
    controls: readonly FakeControl[],
  ) {
    this.address = `${loopbackPrefix()}.${at + 1}:7390`;
    this.#state = state;
    this.#controls = controls;
    const services = new UnaryServices({ secret });
    services.service(Fleet, {
      watch: async ({ watch, forward }) => ({
        answer: encodeWatchAnswer(
          await this.#answer(decodeWatch(watch), forward),
        ),
      }),
    });
    this.#server = createServer((request, response) => {
      if (this.#fault === PathFault.silent) return;
      if (this.#fault === PathFault.refused) return request.socket.destroy();
      this.#loseResponse(response);
      services.handle(request, response);
    });
  }

  set fault(fault: PathFault | null) {
    this.#fault = fault;
    if (fault === PathFault.refused) this.#server.closeAllConnections();
  }

  async start(): Promise<void> {
    const [host, port] = this.address.split(":");
    await new Promise<void>((resolve) =>
      this.#server.listen(Number(port), host, resolve)
    );
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Answers as the leader. */
  async lead(watch: Watch): Promise<WatchAnswer> {
    if (watch.isSearch) return { kind: "leads" };
    await pause(this.updateDelayMilliseconds);
    this.watches.push(watch);
    const { index, term } = this.#state;
    const until = performance.now() + holdMilliseconds;
    while (
      watch.position.index === this.#state.index &&
      watch.position.term === this.#state.term && performance.now() < until
    ) {
      await pause(10);
    }
    return {
      kind: "news",
      delta: createUpdate(this.#state.index, {
        position: {
          index: Math.max(index, this.#state.index),
          term,
          revision: 1,
          isComplete: true,
        },
      }),
    };
  }

  // Also the response to a request from before the fault.
  #loseResponse(response: ServerResponse): void {
    const end = response.end.bind(response);
    vi.spyOn(response, "end").mockImplementation((body: Uint8Array) =>
      this.#fault === null || this.#fault === PathFault.updatesOnly
        ? end(body)
        : response
    );
  }

  async #answer(watch: Watch, forward: boolean): Promise<WatchAnswer> {
    const leader = this.#controls[this.#state.leader]!;
    if (leader === this) {
      const answer = await this.lead(watch);
      return this.#fault === PathFault.updatesOnly && !watch.isSearch
        ? await new Promise(() => {})
        : answer;
    }
    const isForwarded = forward && !this.isOfEarlierRelease &&
      (watch.isSearch || !this.isFull);
    if (!isForwarded) return { kind: "elsewhere", leader: leader.address };
    return watch.isSearch || !this.isHanging
      ? await leader.lead(watch)
      : await new Promise(() => {});
  }
}

describe("a gateway whose path to the leader alone fails", () => {
  const clients = new PeerClients({ secret });
  const leaving: TargetIncarnation = { target: "t", bornAt: 1 };
  let controls: FakeControl[];
  let state: FleetState;
  let synchronizer: TableSynchronizer;
  let events: [string, Readonly<Record<string, unknown>>][];
  let healing: NodeJS.Timeout | undefined;

  beforeEach(async () => {
    state = new FleetState();
    // A synchronizer of the test before may still log.
    const logged: typeof events = [];
    events = logged;
    controls = [];
    for (let at = 0; at < 3; at += 1) {
      controls.push(new FakeControl(at, state, controls));
    }
    for (const control of controls) await control.start();
    const record = (event: string, fields: object = {}) => {
      logged.push([event, { ...fields }]);
    };
    synchronizer = new TableSynchronizer({
      gateway: { gateway: "g", dataCentre: "a", region: "r", address: "a:1" },
      seeds: controls.map(({ address }) => address),
      isCutOff: () => false,
      takeDemand: () => [],
      takeDurations: () => [],
      takeLimits: () => [],
      takeLeaving: (isNewLeader) => isNewLeader ? [leaving] : [],
      suspects: () => [],
      onSuspects: () => {},
      clients,
      clock: new MonotonicClock(),
      logger: { debug() {}, info: record, warn: record, error: record },
      metrics: createMetrics(),
      random: Math.random,
      onChange: () => {},
    });
    synchronizer.start();
    await waitForIndex(1);
    // The next watch is on its way.
    await pause(50);
  });

  afterEach(() => {
    clearTimeout(healing);
    synchronizer.stop();
    for (const control of controls) control.stop();
  });

  /** Waits for a change; returns how long it took. */
  async function waitForIndex(index: number): Promise<number> {
    const startedAt = performance.now();
    while (synchronizer.table.position.index < index) {
      if (performance.now() - startedAt > 10_000) throw new Error("timed out");
      await pause(10);
    }
    return performance.now() - startedAt;
  }

  /** Cuts the path as a change is acknowledged. */
  function cutAtChange(fault: PathFault): void {
    controls[state.leader]!.fault = fault;
    state.index += 1;
    healing = setTimeout(heal, cutMilliseconds);
  }

  function heal(): void {
    for (const control of controls) control.fault = null;
  }

  // Guards against a gateway that keeps an old table for as long as the path
  // between it and the leader is cut, although it reaches other control VMs.
  it.each(Object.values(PathFault))(
    "has a change in time (%s)",
    async (fault) => {
      cutAtChange(fault);
      expect(await waitForIndex(2)).toBeLessThan(targetMilliseconds);
    },
  );

  it("calls the leader itself again once it responds", async () => {
    cutAtChange(PathFault.silent);
    await waitForIndex(2);
    const [leader] = controls;
    expect(synchronizer.path).toEqual({
      leader: leader!.address,
      through: expect.any(String),
    });
    heal();
    await expect.poll(() => synchronizer.path, { timeout: 3000 })
      .toEqual({ leader: leader!.address, through: null });
    const through = events.filter(([event]) => event === "control-path-changed")
      .map(([, fields]) => fields["through"]);
    expect(through).toEqual([expect.any(String), null]);
    const losses = events.filter(([event]) => event === "control-lost");
    expect(losses).toHaveLength(1);
  });

  it("stays with the VM that forwards its calls while the path is cut", async () => {
    cutAtChange(PathFault.silent);
    await waitForIndex(2);
    await pause(2500);
    expect(synchronizer.path?.through).toBeTypeOf("string");
    state.index += 1;
    expect(await waitForIndex(3)).toBeLessThan(300);
  });

  // Guards against a gateway that takes "elsewhere" of a VM of an earlier
  // release for a forwarded response.
  it("uses no VM that forwards nothing", async () => {
    controls[1]!.isOfEarlierRelease = true;
    cutAtChange(PathFault.silent);
    await waitForIndex(2);
    expect(synchronizer.path?.through).toBe(controls[2]!.address);
  });

  it("finds the leader after the cut if no VM forwards calls", async () => {
    for (const control of controls) control.isOfEarlierRelease = true;
    cutAtChange(PathFault.silent);
    await pause(2500);
    expect(synchronizer.table.position.index).toBe(1);
    heal();
    expect(await waitForIndex(2)).toBeLessThan(targetMilliseconds);
    expect(synchronizer.path?.through).toBeNull();
  });

  // Failure: the name of the leader, from a VM that forwards nothing, ended the
  // request to the leader itself, again and again.
  it.each(["isOfEarlierRelease", "isFull"] as const)(
    "gets the table of a leader whose updates begin late (others: %s)",
    async (kind) => {
      const [leader, ...others] = controls;
      for (const each of others) each[kind] = true;
      leader!.updateDelayMilliseconds = 700;
      // The watch ends with its connection.
      leader!.fault = PathFault.refused;
      await pause(100);
      heal();
      state.index += 1;
      expect(await waitForIndex(2)).toBeLessThan(targetMilliseconds);
    },
  );

  // Failure: a watch that failed on a path that had been left ended the path that
  // was in use.
  it("keeps its own path when a watch through another VM fails late", async () => {
    cutAtChange(PathFault.silent);
    await waitForIndex(2);
    await pause(500);
    for (const control of controls) control.isHanging = true;
    heal();
    await expect.poll(() => synchronizer.path?.through, { timeout: 3000 })
      .toBeNull();
    await pause(1500);
    const losses = events.filter(([event]) => event === "control-lost");
    expect(losses).toHaveLength(1);
  });

  // Guards against a new leader that lacks what the one before was told, as the
  // VM that forwards the calls has found it by itself.
  it("reports all again to the next leader behind the same VM", async () => {
    cutAtChange(PathFault.silent);
    await waitForIndex(2);
    const through = controls.findIndex(({ address }) =>
      address === synchronizer.path?.through
    );
    const next = 3 - through;
    state.term = 2;
    state.leader = next;
    state.index += 1;
    await waitForIndex(3);
    const { watches } = controls[next]!;
    await expect.poll(() => watches.some(({ leaving }) => leaving.length > 0))
      .toBe(true);
    await expect.poll(() => synchronizer.path, { timeout: 3000 })
      .toEqual({ leader: controls[next]!.address, through: null });
  });
});
