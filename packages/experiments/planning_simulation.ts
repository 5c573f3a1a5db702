import { bundleDigest } from "@kingcupglade/bundle";
import {
  applyCommand,
  coordinate,
  emptyControlState,
  findRange,
  hashSpaceSize,
  LeavingOwnerTracker,
  RangeIndex,
} from "@kingcupglade/ownership";
import type {
  ControlCommand,
  ControlState,
  Grant,
  LoadView,
  PlacementGroup,
} from "@kingcupglade/ownership";

/** Options of a {@link PlanningSimulation}. */
export interface PlanningSimulationOptions {
  readonly targets: number;
  readonly initialRanges: number;
  /** @default 3 */
  readonly regions?: number;
  /** @default 1 */
  readonly tenants?: number;
}

const roundMilliseconds = 50;

/**
 * Simulates the replicated state and the planning of a leader in virtual time.
 * Every command is committed, and every grant is confirmed, immediately.
 */
export class PlanningSimulation {
  state: ControlState = emptyControlState;
  now = 0;
  loads: LoadView = new Map();
  /** Share of the hash space that has changed owner, summed over all moves. */
  movedShare = 0;
  /** Duration of each planning round, in milliseconds. */
  readonly planMilliseconds: number[] = [];
  /** Names of the targets whose lease has lapsed. */
  readonly lapsed = new Set<string>();
  /**
   * Table version of the oldest request in progress on any VM; null if none.
   */
  oldestInFlightVersion: number | null = null;
  #leaving = new LeavingOwnerTracker();
  readonly #held = new Map<string, readonly Grant[]>();
  readonly #index = new RangeIndex();
  readonly #regions: number;

  constructor(options: PlanningSimulationOptions) {
    this.#regions = options.regions ?? 3;
    const document = planningBundle({
      initialRanges: options.initialRanges,
      regions: this.#regions,
      tenants: options.tenants ?? 1,
    });
    this.apply({ kind: "rollBundle", signed: { document, signatures: [] } });
    for (let index = 0; index < options.targets; index += 1) {
      this.putTarget(index);
    }
  }

  /** The only group. */
  get group(): PlacementGroup {
    return this.state.groups.values().next().value!;
  }

  /** Commits a command. */
  apply(command: ControlCommand): void {
    this.state =
      applyCommand(this.state, command, this.state.version + 1).state;
  }

  /** Registers a target, or updates its condition. */
  putTarget(
    index: number,
    condition: "cold" | "serving" | "leaving" = "serving",
  ) {
    const region = index % this.#regions;
    this.apply({
      kind: "putTarget",
      target: {
        target: targetName(index),
        boot: "first",
        service: "stock",
        dataCentre: `centre-${region}`,
        region: `region-${region}`,
        address: "http://127.0.0.1:1",
        slots: 6,
        connections: 110,
        coldSlots: 1,
        checksFences: true,
        condition,
      },
    });
  }

  /** Registers a VM. */
  putVm(index: number): void {
    const region = index % this.#regions;
    this.apply({
      kind: "putVm",
      vm: {
        name: `vm-${index}`,
        boot: `00000000-0000-4000-8000-${String(index).padStart(12, "0")}`,
        dataCentre: `centre-${region}`,
        region: `region-${region}`,
        peerAddress: `10.0.0.${index}:8300`,
        callersAddress: `10.0.0.${index}:8100`,
        replica: null,
        leaving: false,
      },
    });
  }

  /** Runs one planning round; with `balance`, it also balances the load. */
  runRound(balance = false): void {
    this.now += roundMilliseconds;
    const startedAt = performance.now();
    const plan = coordinate(this.state, {
      vm: () => ({
        lapsed: false,
        lapsesAt: Infinity,
        appliedVersion: this.state.version,
        quiescentVersion: this.oldestInFlightVersion ?? this.state.version,
      }),
      target: (name) => ({
        lapsed: this.lapsed.has(name),
        held: this.#held.get(name) ?? null,
      }),
      now: this.now,
      loads: this.loads,
    }, { index: this.#index, leaving: this.#leaving, balance });
    this.planMilliseconds.push(performance.now() - startedAt);
    for (const push of plan.pushes) this.#held.set(push.target, push.grants);
    for (const command of plan.commands) {
      this.#addMovedShare(command);
      this.apply(command);
    }
  }

  /**
   * Simulates a change of leader: discards the state that only the leader has.
   */
  replaceLeader(): void {
    this.#leaving = new LeavingOwnerTracker();
  }

  /**
   * Runs rounds until nothing is in progress, at most `maximumRounds`; returns
   * how many it ran.
   */
  runUntilStable(maximumRounds = 400): number {
    // Grants may have been confirmed in the first of two rounds without a
    // change.
    let unchangedRounds = 0;
    for (let round = 1; round <= maximumRounds; round += 1) {
      const before = this.state.version;
      this.runRound();
      unchangedRounds = this.state.version === before ? unchangedRounds + 1 : 0;
      if (unchangedRounds === 2) return round;
    }
    return maximumRounds;
  }

  // A range has moved if it is granted to an owner other than its current one.
  #addMovedShare(command: ControlCommand): void {
    if (command.kind !== "changeRanges") return;
    const { ranges } = this.group;
    for (const change of command.changes) {
      if (change.kind !== "grant") continue;
      const range = ranges[findRange(ranges, change.start)]!;
      if (range.owner === change.owner) continue;
      this.movedShare += (range.end - range.start) / hashSpaceSize;
    }
  }
}

/** Returns the name of a target of a {@link PlanningSimulation}. */
export function targetName(index: number): string {
  return `stock-${String(index).padStart(4, "0")}`;
}

function planningBundle(size: {
  readonly initialRanges: number;
  readonly regions: number;
  readonly tenants: number;
}) {
  return {
    version: 1,
    operators: [{
      name: "operator",
      publicKey: Buffer.from(bundleDigest("operator"), "hex").toString(
        "base64",
      ),
    }],
    dataCentres: Array.from({ length: size.regions }, (_, index) => ({
      name: `centre-${index}`,
      region: `region-${index}`,
    })),
    services: [{
      name: "stock",
      kind: "keyed",
      initialRanges: size.initialRanges,
    }],
    tenants: Array.from(
      { length: size.tenants },
      (_, index) => ({ name: `tenant-${index}` }),
    ),
    routes: [],
  };
}
