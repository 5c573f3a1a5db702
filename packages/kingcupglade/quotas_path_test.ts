import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createTenant, keys, WorkspaceFleet } from "./workspace_fixture.ts";

const gateways = 3;
const windowMilliseconds = 5000;
const limit = { ratePerS: 20, burst: 10 };

/** Requests of a workspace that may be sent in one window. */
function maximumInWindow({ ratePerS, burst }: typeof limit): number {
  return (ratePerS * windowMilliseconds / 1000 + burst) * 1.1 + 20;
}

/** Sends requests at a rate; returns the responses, in the order of sending. */
async function sendLoad(fleet: WorkspaceFleet, options: {
  readonly perSecond: number;
  readonly milliseconds: number;
  readonly gateway: (at: number) => number;
}) {
  const { perSecond, milliseconds, gateway } = options;
  const startedAt = performance.now();
  const responses: ReturnType<WorkspaceFleet["send"]>[] = [];
  const count = perSecond * milliseconds / 1000;
  for (let at = 0; at < count; at += 1) {
    const dueAt = startedAt + at * 1000 / perSecond;
    await pause(Math.max(0, dueAt - performance.now()));
    responses.push(
      fleet.send("/lookup/1", { gateway: gateway(at), key: keys.acme }),
    );
  }
  return await Promise.all(responses);
}

/**
 * Largest number of requests that arrived first in any window that begins at
 * `from` or later. One that is hedged or retried counts once.
 */
function highestInWindow(fleet: WorkspaceFleet, from = 0): number {
  const firstArrivals = new Map<string, number>();
  for (const { id, at, headers } of fleet.arrivals) {
    if (headers["x-tenant"] !== "acme") continue;
    firstArrivals.set(id, Math.min(at, firstArrivals.get(id) ?? Infinity));
  }
  const times = [...firstArrivals.values()].filter((at) => at >= from)
    .sort((left, right) => left - right);
  return Math.max(
    0,
    ...times.map((end, index) =>
      times.slice(0, index + 1).filter((at) => at > end - windowMilliseconds)
        .length
    ),
  );
}

function shareOf(
  responses: readonly { readonly status: number }[],
  status: number,
): number {
  return responses.filter((each) => each.status === status).length /
    responses.length;
}

// Without a bound on revocations, so that the lease on keys does not end first.
describe("A workspace with a limit, at a gateway cut off from control", () => {
  let fleet: WorkspaceFleet;

  beforeEach(async () => {
    fleet = new WorkspaceFleet("");
    await fleet.start();
    await fleet.addTenant(createTenant("acme", [keys.acme], 1, limit));
  });

  afterEach(() => fleet.stop());

  // The leader lends the allowance to others once the lease has ended.
  it("is rejected with 503 from the end of the lease on, and served again", async () => {
    const load = sendLoad(fleet, {
      perSecond: 2 * limit.ratePerS,
      milliseconds: 18_000,
      gateway: (at) => at % gateways,
    });
    await pause(3000);
    fleet.cutOffFromControl(0);
    // An update that was under way, the search for another leader, the lease.
    await pause(7000);
    const lapsed = await fleet.send("/lookup/1", { key: keys.acme });
    expect(lapsed.status).toBe(503);
    expect(Number(lapsed.headers["retry-after"])).toBeGreaterThan(0);
    // The log of all VMs has 25 lines a second, so that one ID may be missing.
    const line = fleet.log.lines.find((each) =>
      each.includes("no lease of allowances")
    );
    expect(JSON.parse(line!)).toMatchObject({ status: 503, allowance: 0 });
    fleet.healControl();
    await load;
    expect(highestInWindow(fleet)).toBeLessThanOrEqual(maximumInWindow(limit));
    await pause(windowMilliseconds + 1000);
    const again = await fleet.send("/lookup/1", { key: keys.acme });
    expect(again.status).toBe(200);
  });
});

describe("A workspace with a limit", () => {
  let fleet: WorkspaceFleet;

  beforeEach(async () => {
    fleet = new WorkspaceFleet();
    await fleet.start();
    await fleet.addTenant(createTenant("acme", [keys.acme], 1, limit));
  });

  afterEach(() => fleet.stop());

  // Gateways that count alone would let pass several times the limit.
  it("keeps to it at twice the limit over several gateways", async () => {
    const responses = await sendLoad(fleet, {
      perSecond: 2 * limit.ratePerS,
      milliseconds: 15_000,
      gateway: (at) => at % gateways,
    });
    expect(highestInWindow(fleet)).toBeLessThanOrEqual(maximumInWindow(limit));
    expect(shareOf(responses, 200)).toBeGreaterThan(0.475);
    const rejected = responses.filter(({ status }) => status === 429);
    expect(rejected.length).toBeGreaterThan(0.2 * responses.length);
    const arrived = new Set(fleet.arrivals.map(({ id }) => id));
    for (const { id, headers } of rejected) {
      expect(arrived.has(id)).toBe(false);
      expect(Number(headers["retry-after"])).toBeGreaterThan(0);
    }
    const line = fleet.log.lines.find((each) =>
      each.includes("quota-rejected") && each.includes(`"${rejected[0]!.id}"`)
    );
    expect(JSON.parse(line!)).toMatchObject({
      workspace: "acme",
      version: 1,
      allowance: expect.any(Number),
      count: expect.any(Number),
      leaseAgeMilliseconds: expect.any(Number),
    });
  });

  // Equal shares would reject most of what comes to one gateway.
  it("is served below it, with all callers at one gateway, then another", async () => {
    const perSecond = 0.9 * limit.ratePerS;
    const first = await sendLoad(fleet, {
      perSecond,
      milliseconds: 8000,
      gateway: () => 0,
    });
    const second = await sendLoad(fleet, {
      perSecond,
      milliseconds: 8000,
      gateway: () => 1,
    });
    expect(shareOf(first, 200)).toBeGreaterThan(0.95);
    expect(shareOf(second, 200)).toBeGreaterThan(0.95);
  });

  it("keeps to a lower limit 2.5 s after it was acknowledged", async () => {
    const load = sendLoad(fleet, {
      perSecond: 2 * limit.ratePerS,
      milliseconds: 14_000,
      gateway: (at) => at % gateways,
    });
    await pause(5000);
    const lower = { ratePerS: 4, burst: 2 };
    await fleet.change({
      upsert: { tenants: [createTenant("acme", [keys.acme], 2, lower)] },
    });
    const from = performance.now() + 2500;
    await load;
    expect(highestInWindow(fleet, from)).toBeLessThanOrEqual(
      maximumInWindow(lower),
    );
  });

  it("has its limit removed with its rate", async () => {
    await fleet.change({
      upsert: {
        tenants: [
          createTenant("acme", [keys.acme], 2, { ratePerS: 0, burst: 0 }),
        ],
      },
    });
    await pause(1000);
    const responses = await sendLoad(fleet, {
      perSecond: 80,
      milliseconds: 4000,
      gateway: (at) => at % gateways,
    });
    expect(shareOf(responses, 200)).toBeGreaterThan(0.99);
  });
});
