import type { TargetView } from "@kingcupglade/fleet";
import { createMetrics } from "@kingcupglade/telemetry";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { TargetReach } from "./target_reach.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };
const dataCentres = ["a", "b", "c"];
const targets = Array.from({ length: 12 }, (_, at) => ({
  name: `i-${at}`,
  address: `10.0.0.${at}:80`,
  dataCentre: dataCentres[at % 3]!,
})) as unknown as readonly TargetView[];

/** How targets respond to a new connection. */
const Path = { open: "open", silent: "silent", refused: "refused" } as const;
type Path = typeof Path[keyof typeof Path];

describe("TargetReach", () => {
  let reach: TargetReach;
  let connects: number;
  /** Returns how one target responds. */
  let pathTo: (address: string) => Path;
  let listed: readonly TargetView[];
  let isLinkFull: boolean;

  beforeEach(() => {
    vi.useFakeTimers();
    connects = 0;
    isLinkFull = false;
    listed = targets;
    pathTo = () => Path.open;
    let seed = 1;
    reach = new TargetReach({
      isLinkFull: () => isLinkFull,
      targets: () => listed,
      tryConnect: (address, milliseconds) => {
        connects += 1;
        const path = pathTo(address);
        if (path !== Path.silent) return Promise.resolve(path === Path.open);
        return new Promise((resolve) =>
          setTimeout(() => resolve(false), milliseconds)
        );
      },
      clock: { now: () => vi.getMockedSystemTime()!.getTime() } as never,
      logger,
      metrics: createMetrics(),
      random: () => (seed = (seed * 16807) % 2147483647) / 2147483647,
    });
  });

  afterEach(() => {
    reach.close();
    vi.useRealTimers();
  });

  /** Serves requests at an interval, which all targets answer. */
  async function serve(
    milliseconds: number,
    intervalMilliseconds: number,
  ): Promise<void> {
    for (let at = 0; at < milliseconds; at += intervalMilliseconds) {
      reach.begin();
      await vi.advanceTimersByTimeAsync(intervalMilliseconds);
      reach.recordResponse();
      reach.end();
    }
  }

  async function timeUntilCutOff(): Promise<number> {
    for (let at = 0; at < 5000; at += 10) {
      if (reach.isCutOff) return at;
      await vi.advanceTimersByTimeAsync(10);
    }
    return Infinity;
  }

  it("notices within a second that all responses stay away", async () => {
    await serve(2000, 40);
    pathTo = () => Path.silent;
    reach.begin();
    expect(await timeUntilCutOff()).toBeLessThan(1000);
  });

  it("notices a cut by the first connection that hangs", async () => {
    await vi.advanceTimersByTimeAsync(5000);
    pathTo = () => Path.silent;
    reach.recordConnectTrouble(targets[0]!.address);
    expect(await timeUntilCutOff()).toBeLessThan(400);
  });

  it("notices that new connections are refused while responses arrive", async () => {
    await serve(1000, 20);
    pathTo = () => Path.refused;
    for (const { address } of targets.slice(0, 3)) {
      reach.recordResponse();
      reach.recordConnectTrouble(address);
    }
    expect(await timeUntilCutOff()).toBeLessThan(50);
  });

  // Guards against a gateway that takes crashed targets for a cut of its own.
  it("is not cut off when one data centre's targets are gone", async () => {
    await serve(1000, 40);
    const gone = new Set(
      targets.filter(({ dataCentre }) => dataCentre === "a").map((each) =>
        each.address
      ),
    );
    pathTo = (address) => gone.has(address) ? Path.silent : Path.open;
    await vi.advanceTimersByTimeAsync(500);
    for (const address of gone) reach.recordConnectTrouble(address);
    reach.recordLoss();
    expect(await timeUntilCutOff()).toBe(Infinity);
  });

  it("is not cut off by slow responses, which cost few connections", async () => {
    reach.begin();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(reach.isCutOff).toBe(false);
    expect(connects).toBeLessThan(25);
  });

  it("tries no connections while requests are served", async () => {
    await serve(5000, 40);
    expect(connects).toBe(0);
  });

  it("says nothing if there are no targets to tell it from", async () => {
    listed = targets.slice(0, 1);
    pathTo = () => Path.refused;
    reach.recordConnectTrouble(listed[0]!.address);
    expect(await timeUntilCutOff()).toBe(Infinity);
  });

  it("returns to its own paths by degrees after the cut", async () => {
    await vi.advanceTimersByTimeAsync(1000);
    pathTo = () => Path.refused;
    reach.recordConnectTrouble(targets[0]!.address);
    await timeUntilCutOff();
    await vi.advanceTimersByTimeAsync(3000);
    expect(reach.shouldUseTargets()).toBe(false);
    pathTo = () => Path.open;
    for (let at = 0; reach.isCutOff; at += 10) {
      expect(at).toBeLessThan(500);
      await vi.advanceTimersByTimeAsync(10);
    }
    const shares: number[] = [];
    for (const _quarter of [1, 2, 3, 4]) {
      const own = Array.from({ length: 200 }, () => reach.shouldUseTargets());
      shares.push(own.filter(Boolean).length / own.length);
      await vi.advanceTimersByTimeAsync(300);
    }
    expect(shares[0]).toBeLessThan(0.1);
    expect(shares[1]).toBeGreaterThan(shares[0]!);
    expect(shares[2]).toBeGreaterThan(shares[1]!);
    await vi.advanceTimersByTimeAsync(300);
    expect(reach.shouldUseTargets()).toBe(true);
  });

  it("tells each request of the cut once", async () => {
    const told = vi.fn();
    const ended = vi.fn();
    reach.onCutOff(told);
    reach.onCutOff(ended)();
    await vi.advanceTimersByTimeAsync(1000);
    pathTo = () => Path.refused;
    reach.recordConnectTrouble(targets[0]!.address);
    await timeUntilCutOff();
    await vi.advanceTimersByTimeAsync(2000);
    expect(told).toHaveBeenCalledTimes(1);
    expect(ended).not.toHaveBeenCalled();
  });

  // Guards against a full link that is taken for a cut, so that requests are
  // relayed to gateways whose links are as full.
  it("is not cut off while its link is full and bytes arrive", async () => {
    await serve(1000, 20);
    isLinkFull = true;
    pathTo = () => Path.silent;
    reach.begin();
    for (let at = 0; at < 5000; at += 100) {
      await vi.advanceTimersByTimeAsync(100);
      reach.recordProgress();
      reach.recordConnectTrouble("10.0.0.1:80");
    }
    expect(reach.isCutOff).toBe(false);
    expect(await reach.confirmCutOff()).toBe(false);
  });

  it("is cut off although its link was full, once nothing arrives", async () => {
    await serve(1000, 20);
    isLinkFull = true;
    pathTo = () => Path.silent;
    reach.begin();
    const milliseconds = await timeUntilCutOff();
    expect(milliseconds).toBeGreaterThan(1000);
    expect(milliseconds).toBeLessThan(2500);
  });
});
