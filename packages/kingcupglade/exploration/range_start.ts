import { emptyControlState, RoutingTable } from "@kingcupglade/ownership";
import type { ControlCommand } from "@kingcupglade/ownership";
import type { RangeWorld } from "./range_world.ts";

/** The VMs of the explored world. */
export const vmNames = ["vm-1", "vm-2"] as const;
/** Its targets. */
export const targetNames = ["a", "b"] as const;
/** Service and tenant of its requests. */
export const subject = { service: "stock", tenant: "toolroom" } as const;
/** Position of their key. */
export const position = 1;

/** Rounds of coordination until both VMs know the owner. */
export const startRounds = 3;

/** Rounds without losses after which the range must be served. */
export const settlingRounds = 8;

/** Puts a bundle with one keyed service and one range in force. */
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

/** Nothing is known to anybody. */
export const emptyWorld: RangeWorld = {
  now: 0,
  control: emptyControlState,
  books: [],
  vms: new Map(vmNames.map((name) => [name, {
    table: RoutingTable.empty,
    leaseUntil: -Infinity,
    uses: [],
  }])),
  targets: new Map(targetNames.map((name) => [name, {
    leaseUntil: -Infinity,
    grants: [],
    taken: { version: 0, sequence: 0 },
    actsOn: { version: 0, sequence: 0 },
    reply: null,
  }])),
  pushes: [],
  requests: [],
  sequence: 0,
  highestEffect: 0,
  remaining: {
    ticks: 0,
    announcements: 0,
    leaves: 0,
    renewals: 0,
    requests: 0,
    givenUp: 0,
  },
  fault: null,
};
