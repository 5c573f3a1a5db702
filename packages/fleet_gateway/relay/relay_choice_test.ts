import type { VmEndpoint } from "@kingcupglade/fleet";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { beforeEach, describe, expect, it } from "vitest";
import { RelayChoice } from "./relay_choice.ts";

const regions = { a: "north", b: "north", c: "south" };

function gatewaysOf(dataCentre: string, count: number): VmEndpoint[] {
  return Array.from({ length: count }, (_, at) => ({
    name: `${dataCentre}-${at}`,
    address: `10.0.0.${at}:1`,
    dataCentre,
  }));
}

const none = new Set<string>();

describe("RelayChoice", () => {
  let now: number;
  let gateways: VmEndpoint[];
  let choice: RelayChoice;

  beforeEach(() => {
    now = 0;
    gateways = ["a", "b", "c"].flatMap((each) => gatewaysOf(each, 3));
    const generator = xoroshiro128plus(7);
    choice = new RelayChoice({
      name: "a-0",
      region: "north",
      regions,
      gateways: () => gateways,
      clock: { now: () => now } as never,
      random: () => (generator.next() >>> 0) / 2 ** 32,
    });
  });

  function names(count: number, homeRegions: readonly string[] = []) {
    return Array.from({ length: count }, () => {
      const next = choice.next({ homeRegions, excluded: none })!;
      choice.begin(next);
      return next.name;
    });
  }

  it("spreads requests evenly over the other gateways of its region", () => {
    const counts = new Map<string, number>();
    for (const name of names(500)) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect([...counts.keys()].sort()).toEqual([
      "a-1",
      "a-2",
      "b-0",
      "b-1",
      "b-2",
    ]);
    expect(Math.max(...counts.values())).toBeLessThan(110);
    expect(Math.min(...counts.values())).toBeGreaterThan(90);
  });

  // Guards against half of a data centre that topples the other half.
  it("gives each of few gateways its share when 22 cut-off ones use them", () => {
    const load = new Map<string, number>();
    const generator = xoroshiro128plus(11);
    gateways = ["a", "b", "c"].flatMap((each) => gatewaysOf(each, 8));
    for (let sender = 0; sender < 22; sender += 1) {
      const each = new RelayChoice({
        name: `cut-${sender}`,
        region: "north",
        regions,
        gateways: () => gateways,
        clock: { now: () => now } as never,
        random: () => (generator.next() >>> 0) / 2 ** 32,
      });
      for (let request = 0; request < 40; request += 1) {
        const next = each.next({ homeRegions: [], excluded: none })!;
        each.begin(next);
        load.set(next.name, (load.get(next.name) ?? 0) + 1);
      }
    }
    const mean = (22 * 40) / 16;
    expect(load.size).toBe(16);
    expect(Math.max(...load.values())).toBeLessThan(mean * 1.25);
  });

  it("keeps to the home regions of a route", () => {
    expect(new Set(names(30, ["south"]))).toEqual(
      new Set(["c-0", "c-1", "c-2"]),
    );
  });

  it("goes to another region when its own has none left", () => {
    gateways = gatewaysOf("c", 2);
    expect(names(1)[0]).toMatch(/^c-/);
  });

  it("leaves one that failed alone, longer each time", () => {
    gateways = gatewaysOf("b", 1);
    const [gateway] = gateways;
    const fail = () => {
      choice.begin(gateway!);
      choice.end(gateway!, false);
    };
    fail();
    expect(choice.hasCandidates).toBe(false);
    now = 500;
    expect(choice.hasCandidates).toBe(true);
    fail();
    now = 1499;
    expect(choice.hasCandidates).toBe(false);
    now = 1500;
    expect(choice.hasCandidates).toBe(true);
    choice.begin(gateway!);
    choice.end(gateway!, true);
    fail();
    now = 2000;
    expect(choice.hasCandidates).toBe(true);
  });
});
