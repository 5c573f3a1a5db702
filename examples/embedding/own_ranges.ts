/**
 * Uses the ownership and lease modules without the daemon. One process assigns
 * the ranges of a hash space to three workers, and reassigns those of a worker
 * when its lease expires.
 *
 * @module
 */
import { LeaseTable } from "@kingcupglade/membership";
import {
  applyCommand,
  coordinate,
  emptyControlState,
  grantsByTarget,
} from "@kingcupglade/ownership";
import type {
  ControlCommand,
  ControlState,
  LeaderView,
} from "@kingcupglade/ownership";

const leaseMilliseconds = 1000;
const stepMilliseconds = 100;
const workers = ["worker-1", "worker-2", "worker-3"];

const document = {
  version: 1,
  operators: [{ name: "owner", publicKey: `${"A".repeat(43)}=` }],
  dataCentres: [{ name: "here", region: "here" }],
  services: [{ name: "ledger", kind: "keyed", initialRanges: 12 }],
  tenants: [{ name: "everyone" }],
  routes: [],
};

/** Runs the example in simulated time and returns the lines to print. */
export function runExample(): readonly string[] {
  const lines: string[] = [];
  const leases = new LeaseTable({ leaseMilliseconds }, 0);
  const confirmedGrants = new Map<string, never[]>();
  let state = applyAll(emptyControlState, [
    { kind: "rollBundle", signed: { document, signatures: [] } },
    ...workers.map(createRegistration),
  ]);
  for (let now = 0; now <= 4000; now += stepMilliseconds) {
    const lostWorker = now >= 2000 ? "worker-1" : undefined;
    for (const worker of workers) {
      if (worker !== lostWorker) leases.renew(worker, "boot-1", now);
    }
    const view: LeaderView = {
      vm: () => ({
        lapsed: false,
        lapsesAt: now,
        appliedVersion: state.version,
        quiescentVersion: state.version,
      }),
      target: (id) => ({
        lapsed: leases.hasLapsed(id, now),
        held: confirmedGrants.get(id) ?? null,
      }),
    };
    const plan = coordinate(state, view);
    for (const push of plan.pushes) {
      confirmedGrants.set(push.target, push.grants as never[]);
    }
    state = applyAll(state, plan.commands);
    if (now % 1000 === 0) lines.push(`${now} ms: ${describeOwners(state)}`);
  }
  return lines;
}

function createRegistration(worker: string): ControlCommand {
  return {
    kind: "putTarget",
    target: {
      target: worker,
      boot: "boot-1",
      service: "ledger",
      dataCentre: "here",
      region: "here",
      address: "http://127.0.0.1:1",
      slots: 4,
      connections: 10,
      coldSlots: 1,
      checksFences: true,
      condition: "serving",
    },
  };
}

function applyAll(
  initialState: ControlState,
  commands: readonly ControlCommand[],
): ControlState {
  return commands.reduce(
    (state, command) => applyCommand(state, command, state.version + 1).state,
    initialState,
  );
}

function describeOwners(state: ControlState): string {
  const grants = grantsByTarget(state, state.version);
  return workers.map((worker) =>
    `${worker} owns ${grants.get(worker)?.length ?? 0} ranges`
  ).join(", ");
}
