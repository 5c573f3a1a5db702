import { setTimeout as pause } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { FullLinkFleet, shareOf } from "./full_link_fixture.ts";

const linkMegabitsPerSecond = 2;
/** Prints the figures of docs/design/link.md. */
const printsFigures = process.env["LINK_FIGURES"] !== undefined;
const burstFactor = 3;
const recoveryMilliseconds = 2000;

describe("a gateway whose link a burst exceeds for 3 s", () => {
  const fleet = new FullLinkFleet({
    linkMegabitsPerSecond,
    megabitsPerSecond: linkMegabitsPerSecond,
  });
  let before: number;
  let after: number;

  beforeAll(async () => {
    await fleet.start();
    before = shareOf(await fleet.sendFor(4000, 1));
    const burst = fleet.sendFor(3000, burstFactor);
    await pause(3000 + recoveryMilliseconds);
    after = shareOf(await fleet.sendFor(4000, 1));
    const during = shareOf(await burst);
    if (printsFigures) {
      const counts: Record<string, number> = {};
      for (const { event, reason, route } of fleet.lines) {
        const key = `${event} ${reason} ${route}`;
        counts[key] = (counts[key] ?? 0) + 1;
      }
      console.log({ before, during, after }, counts);
    }
  });
  afterAll(() => fleet.stop());

  // Guards against a collapse that outlasts its burst: without the setting, none
  // of the requests after it is served.
  it("serves again 0.9 of before within 2 s after its end", () => {
    expect(before).toBeGreaterThanOrEqual(0.9);
    expect(after).toBeGreaterThanOrEqual(0.9 * before);
  });

  // Guards against relays to gateways whose links are as full.
  it("does not take its full link for a cut", () => {
    expect(fleet.count("target-reach-changed")).toBe(0);
    expect(fleet.count("request-relayed")).toBe(0);
  });

  it("says that its link is full, and that it is free again", () => {
    expect(fleet.count("link-full")).toBeGreaterThan(0);
    expect(fleet.count("link-free")).toBeGreaterThan(0);
  });

  // Guards against a refusal of a request that has run, or may run later.
  it("has sent no refused request to a target", () => {
    const refused = fleet.lines.filter(({ event, status }) =>
      event === "request-not-served" && status === 503
    );
    expect(refused.length).toBeGreaterThan(0);
    const sent = new Set(fleet.targets.flatMap(({ requests }) => requests));
    expect(refused.filter(({ request }) => sent.has(String(request))))
      .toEqual([]);
  });
});

describe("a gateway whose link carries large responses", () => {
  const fleet = new FullLinkFleet({
    linkMegabitsPerSecond: 8,
    megabitsPerSecond: 6,
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.stop());

  for (const bytes of [16_384, 16_385, 100_000, 262_144, 262_145, 600_000]) {
    // Guards against bytes that are lost or repeated between two slices.
    it(`passes on ${bytes} bytes whole`, async () => {
      const { status, body } = await fleet.attempt(`/bundle/${bytes}`, 4500);
      expect(status).toBe(200);
      expect(body.equals(fleet.bodyOf(bytes))).toBe(true);
    });
  }

  // Guards against a small response that waits behind all of a large one.
  it("passes on a small response while a large one is on its way", async () => {
    const large = fleet.attempt("/bundle/800000", 4500);
    await pause(300);
    const startedAt = performance.now();
    const { status } = await fleet.attempt("/lookup/4000", 1500);
    const elapsed = performance.now() - startedAt;
    if (printsFigures) console.log({ small: elapsed });
    expect(status).toBe(200);
    expect(elapsed).toBeLessThan(400);
    expect((await large).status).toBe(200);
  });

  // Guards against a share of the link that a caller keeps after it has left.
  it("ends responses at once whose callers leave", async () => {
    const attempts = Array.from(
      { length: 4 },
      () => fleet.attempt("/bundle/250000", 4500, 400),
    );
    expect((await Promise.all(attempts)).map(({ status }) => status))
      .toEqual(attempts.map(() => 0));
    await pause(300);
    const startedAt = performance.now();
    const { status } = await fleet.attempt("/bundle/100000", 3000);
    const elapsed = performance.now() - startedAt;
    if (printsFigures) console.log({ afterLeaving: elapsed });
    expect(status).toBe(200);
    expect(elapsed).toBeLessThan(1000);
  });
});
