import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { TargetView } from "@kingcupglade/fleet";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { describe, expect, it } from "vitest";
import { TargetEnd, TargetEndDetector } from "./target_end_detector.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };
/** Nothing listens there. */
const refusing = "127.0.0.1:9";

describe("TargetEndDetector", () => {
  function examine(
    address: string,
    { open = 0, lostTargets = 1, isCutOff = false } = {},
  ): Promise<TargetEnd> {
    return new TargetEndDetector({
      connections: {
        openCount: () => open,
        addressesLostSince: () => lostTargets,
      },
      reach: { confirmCutOff: () => Promise.resolve(isCutOff) },
      clock: new MonotonicClock(),
      logger,
      metrics: createMetrics(),
    }).examine({ name: "i-1", bornAt: 7, address } as TargetView);
  }

  it("detects a target that refuses connections and has closed all", async () => {
    expect(await examine(refusing)).toBe(TargetEnd.ended);
  });

  it("takes a target that keeps another connection for alive", async () => {
    expect(await examine(refusing, { open: 1 })).toBe(TargetEnd.unknown);
  });

  // Guards against requests that are suspected because this VM is cut off, or a
  // rack loses power.
  it("suspects no request if many targets end connections at once", async () => {
    expect(await examine(refusing, { lostTargets: 3 })).toBe(TargetEnd.unknown);
  });

  // Guards against requests that are suspected because this VM cannot open new
  // connections, while those that it has live on.
  it("suspects no request if no target accepts a connection", async () => {
    expect(await examine(refusing, { isCutOff: true })).toBe(
      TargetEnd.unknown,
    );
  });

  // Guards against a fault of one examination that ends the process. Vitest fails
  // on a rejection that nobody handles.
  it("fails to those that wait for it, and to nobody else", async () => {
    const detector = new TargetEndDetector({
      connections: { openCount: () => 0, addressesLostSince: () => 1 },
      reach: { confirmCutOff: () => Promise.reject(new Error("a fault")) },
      clock: new MonotonicClock(),
      logger,
      metrics: createMetrics(),
    });
    const target = { name: "i-1", bornAt: 7, address: refusing } as TargetView;
    await expect(detector.examine(target)).rejects.toThrow("a fault");
    await expect(detector.examine(target)).rejects.toThrow("a fault");
  });

  it("takes a target that accepts connections for alive", async () => {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    expect(await examine(`127.0.0.1:${port}`)).toBe(TargetEnd.unknown);
    server.close();
  });
});
