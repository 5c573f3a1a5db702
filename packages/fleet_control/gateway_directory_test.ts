import type { RegisteredTarget } from "@kingcupglade/fleet";
import { describe, expect, it } from "vitest";
import { GatewayDirectory } from "./gateway_directory.ts";

const target: RegisteredTarget = {
  incarnation: { target: "t", bornAt: 1 },
  service: "catalogue",
  address: "t:80",
  dataCentre: "a",
  slots: 6,
  isLeaving: false,
  isCold: true,
  sequence: 1,
  lastSeenAt: 0,
  revision: 1,
  isUnconfirmed: false,
  maximumPerSecond: null,
};

function directoryOf(gateways: number): GatewayDirectory {
  const directory = new GatewayDirectory({ regionOf: () => "north" });
  for (let at = 0; at < gateways; at += 1) {
    directory.record({
      gateway: `g${at}`,
      dataCentre: at % 2 === 0 ? "a" : "b",
      region: "north",
      address: `10.0.0.${at}:7720`,
      isLeaving: false,
      isCutOff: false,
      position: { index: 0, term: 0, revision: 0, isComplete: false },
      isSearch: false,
      features: [],
      quotas: [],
      demand: [],
      durations: [],
      limits: [],
      suspects: [],
      leaving: [],
    }, 0);
  }
  return directory;
}

describe("GatewayDirectory", () => {
  it("chooses three of 72 gateways for a cold target, nearby ones first", () => {
    const directory = directoryOf(72);
    const named = directory.coldGateways(target, 0);
    expect(named).toHaveLength(3);
    expect(named.every((name) => Number(name.slice(1)) % 2 === 0)).toBe(true);
  });

  it("keeps its choice while the target is cold, even if gateways come or go", () => {
    const directory = directoryOf(3);
    const named = directory.coldGateways(target, 0);
    expect(directory.coldGateways(target, 60_000)).toEqual(named);
  });

  it("does not list gateways that have become silent", () => {
    expect(directoryOf(9).activeNames(3000)).toEqual([]);
  });
});
