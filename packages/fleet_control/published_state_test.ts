import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type { FleetCommand, FleetState } from "@kingcupglade/fleet";
import { describe, expect, it } from "vitest";
import { PublishedState } from "./published_state.ts";

const machine = new FleetMachine();

function apply(state: FleetState, command: FleetCommand, index: number) {
  return machine.apply(state, command, index).state;
}

describe("PublishedState", () => {
  // Guards against an update for every gateway that holds nothing.
  it("does not count entries that gateways receive nothing of", () => {
    const published = new PublishedState();
    const before = published.indexOf(emptyFleetState, 4);
    const sameContent = { ...emptyFleetState };
    expect(published.indexOf(sameContent, 5)).toBe(before);
  });

  // Guards against a gateway that stays without a change.
  it("counts each kind of entry that changes a gateway's table", () => {
    const published = new PublishedState();
    const commands: readonly FleetCommand[] = [
      { kind: "evacuate", dataCentre: "a", isOut: true },
      { kind: "depart", target: "t", bornAt: 5, departure: "gone" },
      { kind: "createRanges", service: "s", ranges: 2 },
      { kind: "splitRanges", service: "s", cuts: [100] },
    ];
    let state = emptyFleetState;
    published.indexOf(state, 0);
    for (const [at, command] of commands.entries()) {
      state = apply(state, command, at + 1);
      expect(published.indexOf(state, at + 1)).toBe(at + 1);
    }
  });
});
