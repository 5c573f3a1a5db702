import { ManualClock } from "@kingcupglade/tasks";
import { describe, expect, it } from "vitest";
import { ElapsedClock } from "./elapsed_clock.ts";
import {
  confirmedAge,
  holdsLease,
  leaseMilliseconds,
  noKeyLease,
  renewLease,
} from "./key_lease.ts";
import { unconfirmedGateways } from "./revocation.ts";

const renewal = {
  sentAt: 1000,
  confirmedAgeMilliseconds: 100,
  isTableCurrent: true,
};

describe("a lease on the table of keys", () => {
  it("lasts for the bound less drift and pauses", () => {
    expect(leaseMilliseconds(5000)).toBe(4650);
    expect(leaseMilliseconds(100)).toBe(0);
  });

  it("is counted from the request, minus the age of the confirmation", () => {
    const lease = renewLease(noKeyLease, renewal, 4650);
    expect(holdsLease(lease, 5549)).toBe(true);
    expect(holdsLease(lease, 5550)).toBe(false);
  });

  it("is never shortened by a response that arrives late", () => {
    const lease = renewLease(noKeyLease, { ...renewal, sentAt: 3000 }, 4650);
    expect(renewLease(lease, renewal, 4650)).toEqual(lease);
  });

  it("is not renewed without a confirmation, or by another table", () => {
    for (
      const odd of [
        { confirmedAgeMilliseconds: undefined },
        { confirmedAgeMilliseconds: NaN },
        { confirmedAgeMilliseconds: -5 },
        { isTableCurrent: false },
      ]
    ) {
      expect(renewLease(noKeyLease, { ...renewal, ...odd }, 4650))
        .toEqual(noKeyLease);
    }
  });
});

describe("the age of a leader's confirmation", () => {
  it("is relative to the receipt of the watch request", () => {
    expect(confirmedAge({ confirmedAt: 900, receivedAt: 1000 })).toBe(100);
    // Confirmed while the request was held.
    expect(confirmedAge({ confirmedAt: 1400, receivedAt: 1000 })).toBe(0);
    expect(confirmedAge({ confirmedAt: -Infinity, receivedAt: 1000 }))
      .toBeUndefined();
  });

  // Guards against a leader that was suspended, and replaced meanwhile, and
  // counts its confirmation as recent.
  it("includes a suspension of the leader", () => {
    const monotonic = new ManualClock(0);
    let wall = 0;
    const clock = new ElapsedClock({ monotonic, readWallClock: () => wall });
    monotonic.advance(1000);
    wall += 1000;
    const confirmedAt = monotonic.now();
    clock.now();
    monotonic.advance(10);
    wall += 60_010;
    const receivedAt = clock.now();
    expect(
      confirmedAge({
        confirmedAt: clock.fromMonotonic(confirmedAt),
        receivedAt,
      }),
    ).toBe(60_010);
    monotonic.advance(5);
    wall += 5;
    expect(
      confirmedAge({
        confirmedAt: clock.fromMonotonic(monotonic.now()),
        receivedAt: clock.now(),
      }),
    ).toBe(0);
  });
});

describe("the gateways that a revocation waits for", () => {
  it("lack the change and may have a lease", () => {
    const gateways = [
      { name: "confirmed", index: 7, leaseEndsAt: 500 },
      { name: "behind", index: 6, leaseEndsAt: 500 },
      { name: "without a lease", index: 6, leaseEndsAt: 400 },
    ];
    expect(unconfirmedGateways(gateways, { index: 7, now: 400 }))
      .toEqual(["behind"]);
  });
});
