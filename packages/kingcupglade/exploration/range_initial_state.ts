import { emptyControlState, RoutingTable } from "@kingcupglade/ownership";
import type { ControlCommand } from "@kingcupglade/ownership";
import type { RangeModelState } from "./range_state.ts";

/** Names of the VMs. */
export const vmNames = ["vm-1", "vm-2"] as const;
/** Names of the targets. */
export const targetNames = ["a", "b"] as const;
/** Service and tenant of the requests. */
export const subject = { service: "stock", tenant: "toolroom" } as const;
/** Position of the requests' key. */
export const position = 1;

/** Coordination rounds after which both VMs route to the owner. */
export const initialRounds = 3;

/** Rounds without losses after which the range must be served again. */
export const recoveryRounds = 8;

/** Activates a bundle with one keyed service and one range. */
export const startCommands: readonly ControlCommand[] = [{
  kind: "rollBundle",
  signed: {
    document: {
      version: 1,
      operators: [{ name: "mei", publicKey: `${"A".repeat(43)}=` }],
      dataCentres: [{ name: "hsinchu-a", region: "hsinchu" }],
      services: [{ name: subject.service, kind: "keyed", initialRanges: 1 }],
      tenants: [{ name: subject.tenant }],
      routes: [],
    },
    signatures: [],
  },
}];

/** State before any process has sent a message. */
export const emptyState: RangeModelState = {
  now: 0,
  control: emptyControlState,
  leaderEvents: [],
  vms: new Map(vmNames.map((name) => [name, {
    table: RoutingTable.empty,
    leaseUntil: -Infinity,
    inProgress: [],
  }])),
  targets: new Map(targetNames.map((name) => [name, {
    leaseUntil: -Infinity,
    grants: [],
    latestPush: { version: 0, sequence: 0 },
    actsOn: { version: 0, sequence: 0 },
    reply: null,
  }])),
  pushes: [],
  requests: [],
  sequence: 0,
  highestEffectEpoch: 0,
  remaining: {
    ticks: 0,
    announcements: 0,
    leaves: 0,
    renewals: 0,
    requests: 0,
    timeouts: 0,
  },
  violation: null,
};
