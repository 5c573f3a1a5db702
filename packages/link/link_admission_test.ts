import { describe, expect, it } from "vitest";
import { LinkAdmission } from "./link_admission.ts";
import type { LinkRequest } from "./link_admission.ts";
import { LinkScheduler } from "./link_scheduler.ts";
import { RouteProfiles } from "./route_profiles.ts";

const options = { megabitsPerSecond: 2.52, now: 0 };

function createAdmission() {
  const inbound = new LinkScheduler(options);
  const outbound = new LinkScheduler(options);
  return {
    inbound,
    outbound,
    admission: new LinkAdmission({ inbound, outbound }),
  };
}

function requestOf(
  meanBytes: number,
  deadlineAt: number,
  priority = 1,
): LinkRequest {
  const profile = { meanBytes, upperBytes: meanBytes, headMilliseconds: 50 };
  return { priority, deadlineAt, profile };
}

describe("the admission to a link", () => {
  it("admits what an idle link carries in time, and refuses what it cannot", () => {
    const { admission } = createAdmission();
    // 90 kB take 310 ms in each direction.
    expect(admission.admit(requestOf(90_000, 600), 0).kind).toBe("refused");
    expect(admission.admit(requestOf(90_000, 700), 0).kind).toBe("admitted");
  });

  it("admits no more than can be passed on by the deadlines", () => {
    const { admission } = createAdmission();
    let count = 0;
    while (admission.admit(requestOf(90_000, 3000), 0).kind === "admitted") {
      count += 1;
    }
    expect(count).toBeGreaterThanOrEqual(5);
    expect(count).toBeLessThanOrEqual(9);
  });

  it("names the time until it has room", () => {
    const { admission } = createAdmission();
    for (let at = 0; at < 20; at += 1) {
      admission.admit(requestOf(90_000, 3000), 0);
    }
    const decision = admission.admit(requestOf(90_000, 3000), 0);
    expect(decision.kind === "refused" && decision.waitMilliseconds)
      .toBeGreaterThan(100);
  });

  // Guards against an admitted response that a later one makes late.
  it("keeps what it admitted ahead of new requests of the same priority", () => {
    const { admission } = createAdmission();
    expect(admission.admit(requestOf(200_000, 1600), 0).kind).toBe("admitted");
    expect(admission.admit(requestOf(100_000, 1500), 0).kind).toBe("refused");
    expect(admission.admit(requestOf(100_000, 1500, 0), 0).kind)
      .toBe("admitted");
  });

  it("refuses small responses only if the queue of small messages is long", () => {
    const { admission, outbound } = createAdmission();
    for (let at = 0; at < 20; at += 1) {
      admission.admit(requestOf(90_000, 3000), 0);
    }
    expect(admission.admit(requestOf(3000, 500), 0).kind).toBe("admitted");
    outbound.count(200_000, 0);
    expect(admission.admit(requestOf(3000, 500), 0).kind).toBe("refused");
  });

  // Guards against a refusal of requests that only wait for targets.
  it("admits small responses while others wait, but not for the link", () => {
    const { admission, outbound } = createAdmission();
    const tickets = Array.from(
      { length: 500 },
      () => admission.expect(requestOf(4000, 3000), 0),
    );
    expect(admission.admit(requestOf(4000, 500), 0).kind).toBe("admitted");
    for (const ticket of tickets) admission.recordSent(ticket);
    expect(admission.admit(requestOf(4000, 500), 0).kind).toBe("admitted");
    // The link carries all that it can: what was sent waits for it.
    for (let at = 0; at < 500; at += 1) outbound.count(outbound.rate, at);
    expect(admission.admit(requestOf(4000, 1000), 500).kind).toBe("refused");
  });

  // Guards against bytes that have arrived and are taken for a queue.
  it("admits small responses after a burst that has arrived", () => {
    const { admission, inbound } = createAdmission();
    inbound.count(400_000, 0);
    expect(admission.admit(requestOf(3000, 500), 0).kind).toBe("admitted");
  });

  // Guards against a share of the link that no response uses any more.
  it("has all of its room again once all tickets have ended", () => {
    const { admission } = createAdmission();
    const tickets = Array.from(
      { length: 50 },
      (_, at) => admission.expect(requestOf(at % 2 ? 90_000 : 3000, 3000), 0),
    );
    for (const [at, ticket] of tickets.entries()) {
      if (at % 3 === 0) {
        admission.resize(ticket, { bytesIn: 40_000, bytesOut: 40_000 });
      }
      admission.recordIn(ticket, 2000);
      admission.recordOut(ticket, 1000);
    }
    for (const ticket of tickets) admission.end(ticket);
    expect(admission.largeCount).toBe(0);
    expect(admission.admit(requestOf(90_000, 700), 0).kind).toBe("admitted");
    expect(admission.admit(requestOf(3000, 80), 0).kind).toBe("admitted");
  });
});

describe("the profiles of routes", () => {
  it("learn the size from the first response", () => {
    const profiles = new RouteProfiles();
    expect(profiles.of("bundle").meanBytes).toBe(0);
    profiles.record("bundle", { bytes: 90_000, headMilliseconds: 60 });
    expect(profiles.of("bundle")).toEqual({
      meanBytes: 90_000,
      upperBytes: 90_000,
      headMilliseconds: 60,
    });
  });

  it("estimate the upper part of sizes that differ widely", () => {
    const profiles = new RouteProfiles();
    for (let at = 0; at < 1000; at += 1) {
      const bytes = at % 10 < 8 ? 20_000 : 400_000;
      profiles.record("bundle", { bytes, headMilliseconds: 60 });
    }
    const { meanBytes, upperBytes } = profiles.of("bundle");
    expect(meanBytes).toBeGreaterThan(50_000);
    expect(meanBytes).toBeLessThan(180_000);
    expect(upperBytes).toBeGreaterThan(200_000);
  });
});
