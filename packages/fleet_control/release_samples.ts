import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type { FleetCommand, FleetState } from "@kingcupglade/fleet";
import { ItemKind } from "@kingcupglade/items";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import type { Greeting } from "./greeting.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import type { RelayedCall } from "./received_call.ts";
import type { WatchAnswer } from "./watch.ts";
import { decodeWatchAnswer, encodeWatchAnswer } from "./watch_codec.ts";

/** A value that VMs of different releases exchange or store. */
export interface ReleaseSample {
  readonly value: unknown;
  readonly encode: (value: never) => Uint8Array;
  readonly decode: (bytes: Uint8Array) => unknown;
}

const commands: readonly FleetCommand[] = [
  {
    kind: "changeItems",
    change: {
      items: [],
      removals: [{ kind: ItemKind.route, name: "r", version: 7 }],
    },
  },
  { kind: "evacuate", dataCentre: "a", isOut: true },
  { kind: "depart", target: "t", bornAt: 5, departure: "gone" },
  { kind: "createRanges", service: "s", ranges: 2 },
  { kind: "splitRanges", service: "s", cuts: [100] },
  {
    kind: "grantRanges",
    service: "s",
    grants: [{
      from: 0,
      expectedFence: 0,
      owner: { target: "t", bornAt: 5 },
      handover: "h",
    }],
  },
];

/** Proposed only while there are workspaces with limits. */
const borrowerCommands: readonly FleetCommand[] = [
  { kind: "changeBorrowers", add: ["a/1", "b/1"], remove: [] },
  {
    kind: "changeBorrowers",
    add: [],
    remove: ["b/1"],
    bounds: [["a/1", "works", 50]],
  },
];

function applyAll(applied: readonly FleetCommand[]): FleetState {
  const machine = new FleetMachine();
  return applied.reduce(
    (state, command, at) => machine.apply(state, command, at + 1).state,
    emptyFleetState,
  );
}

const greeting: Greeting = {
  replica: "10.0.0.1:7390.ab",
  controlAddress: "10.0.0.1:8166",
  peerAddress: "10.0.0.1:7390",
  dataCentre: "a",
  region: "north",
  isMember: true,
  founders: ["10.0.0.1:7390.ab"],
  known: ["10.0.0.2:7390"],
  time: { process: "p", milliseconds: 12.5 },
};

const relayedCalls: readonly RelayedCall[] = [{
  method: "DELETE",
  path: "/sample",
  body: new Uint8Array([1, 2]),
  receipt: {
    ageMilliseconds: 3.5,
    knownIndex: 9,
    sentAt: { process: "p", milliseconds: 12.5 },
  },
}];

const answer: WatchAnswer = { kind: "elsewhere", leader: "10.0.0.1:7390" };

/** One of each value, by name. */
export const releaseSamples: Readonly<Record<string, ReleaseSample>> = {
  commands: { value: commands, encode: encodeValue, decode: decodeValue },
  snapshot: {
    value: applyAll(commands),
    encode: (state) => new FleetMachine().encode(state),
    decode: (bytes) => new FleetMachine().restore(bytes),
  },
  borrowerCommands: {
    value: borrowerCommands,
    encode: encodeValue,
    decode: decodeValue,
  },
  borrowerSnapshot: {
    value: applyAll([...commands, ...borrowerCommands]),
    encode: (state) => new FleetMachine().encode(state),
    decode: (bytes) => new FleetMachine().restore(bytes),
  },
  greeting: { value: greeting, encode: encodeValue, decode: decodeValue },
  relayedCalls: {
    value: relayedCalls,
    encode: packValue,
    decode: unpackValue,
  },
  watchAnswer: {
    value: answer,
    encode: encodeWatchAnswer,
    decode: decodeWatchAnswer,
  },
};
