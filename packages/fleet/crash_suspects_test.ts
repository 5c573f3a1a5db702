import { describe, expect, it } from "vitest";
import { CrashSuspects, Standing } from "./crash_suspects.ts";
import { SuspectAttempts } from "./suspect_attempts.ts";

const minute = 60_000;

describe("CrashSuspects", () => {
  function recordEnds(suspects: CrashSuspects, ends: number, now = 0): void {
    for (let at = 0; at < ends; at += 1) {
      const isExclusive = suspects.needsExclusiveAttempt("d");
      const incarnation = `i-${at}/${now}`;
      suspects.recordEnd({ digest: "d", incarnation, isExclusive }, now);
    }
  }

  it("quarantines a request that ended three targets, alone at the last", () => {
    const suspects = new CrashSuspects();
    recordEnds(suspects, 2);
    expect(suspects.standing("d", 0)).toBe(Standing.suspect);
    recordEnds(suspects, 3);
    expect(suspects.standing("d", 1)).toBe(Standing.quarantined);
    expect(suspects.standing("other", 1)).toBe(Standing.clear);
  });

  it("counts one end for all runs at the same incarnation", () => {
    const suspects = new CrashSuspects();
    for (let at = 0; at < 5; at += 1) {
      const end = { digest: "d", incarnation: "i-1/7", isExclusive: true };
      suspects.recordEnd(end, at);
    }
    expect(suspects.standing("d", 9)).toBe(Standing.suspect);
  });

  it("clears a request that runs to its end", () => {
    const suspects = new CrashSuspects();
    recordEnds(suspects, 2);
    expect(suspects.clear("d")).toBe(true);
    expect(suspects.standing("d", 0)).toBe(Standing.clear);
  });

  it("doubles the quarantine, and forgets at last", () => {
    const suspects = new CrashSuspects();
    recordEnds(suspects, 3);
    expect(suspects.refusedMilliseconds("d", 0)).toBe(2 * minute);
    expect(suspects.standing("d", 2 * minute)).toBe(Standing.suspect);
    // Its one attempt after the quarantine ends another target.
    recordEnds(suspects, 1, 2 * minute);
    expect(suspects.refusedMilliseconds("d", 2 * minute)).toBe(4 * minute);
    expect(suspects.expire(15 * minute)).toBe(false);
    expect(suspects.expire(16 * minute)).toBe(true);
    expect(suspects.standing("d", 16 * minute)).toBe(Standing.clear);
  });

  it("takes over what another VM knows, also after a change of leader", () => {
    const known = new CrashSuspects();
    recordEnds(known, 3);
    const suspects = new CrashSuspects();
    // Clocks of two VMs differ.
    for (const each of known.all(1000)) suspects.merge(each, 70_000);
    expect(suspects.refusedMilliseconds("d", 70_000)).toBe(119_000);
    const again = known.all(1000).map((each) => suspects.merge(each, 70_001));
    expect(again).toEqual([false]);
  });

  it("adds up ends that different gateways observed", () => {
    const suspects = new CrashSuspects();
    for (const gateway of [1, 2]) {
      const observed = new CrashSuspects();
      const incarnation = `i-${gateway}/0`;
      observed.recordEnd({ digest: "d", incarnation, isExclusive: false }, 0);
      suspects.merge(observed.get("d", 0)!, 0);
    }
    expect(suspects.needsExclusiveAttempt("d")).toBe(true);
  });

  it("keeps quarantined requests when thousands of others are suspected", () => {
    const suspects = new CrashSuspects({ maximumEntries: 100 });
    recordEnds(suspects, 3);
    for (let at = 0; at < 5000; at += 1) {
      const end = {
        digest: `p${at}`,
        incarnation: "i-9/0",
        isExclusive: false,
      };
      suspects.recordEnd(end, 1);
    }
    expect(suspects.size).toBe(100);
    expect(suspects.standing("d", 2)).toBe(Standing.quarantined);
  });
});

describe("SuspectAttempts", () => {
  const request = {
    digest: "d",
    service: "catalogue",
    holder: "gateway-1",
    isExclusive: false,
    expiresAt: 500,
  };

  it("allows one attempt of a suspect at a time over all gateways", () => {
    const attempts = new SuspectAttempts();
    expect(attempts.request(request, 0)).toBe(true);
    const elsewhere = { ...request, holder: "gateway-2" };
    expect(attempts.request(elsewhere, 10)).toBe(false);
    expect(attempts.end("d", "gateway-2")).toBe(false);
    expect(attempts.request(elsewhere, 20)).toBe(false);
    attempts.end("d", "gateway-1");
    expect(attempts.request(elsewhere, 30)).toBe(true);
  });

  it("ends an attempt whose gateway is lost", () => {
    const attempts = new SuspectAttempts();
    attempts.request(request, 0);
    expect(attempts.request({ ...request, expiresAt: 999 }, 499)).toBe(false);
    expect(attempts.request({ ...request, expiresAt: 999 }, 500)).toBe(true);
  });

  it("allows other suspects beside it, but none beside an exclusive one", () => {
    const attempts = new SuspectAttempts();
    const exclusive = { ...request, digest: "e", isExclusive: true };
    const third = { ...request, digest: "f" };
    expect(attempts.request(request, 0)).toBe(true);
    expect(attempts.request(exclusive, 0)).toBe(false);
    // A stream of other suspects does not keep an exclusive one waiting.
    expect(attempts.request(third, 0)).toBe(false);
    attempts.end("d", "gateway-1");
    expect(attempts.request(exclusive, 1)).toBe(true);
    expect(attempts.request(third, 1)).toBe(false);
    const stock = { ...request, digest: "g", service: "stock" };
    expect(attempts.request(stock, 1)).toBe(true);
    expect(attempts.end("e", "gateway-1")).toBe(true);
    expect(attempts.request(third, 2)).toBe(true);
  });
});

/** Runs of requests at targets, some of which end while they run. */
class Fleet {
  readonly suspects = new CrashSuspects();
  #incarnation = 0;

  /** Ends a target while it runs requests. */
  end(digests: readonly string[], isExclusive: boolean, now: number): void {
    const incarnation = `i-${this.#incarnation++}/0`;
    for (const digest of digests) {
      this.suspects.recordEnd({ digest, incarnation, isExclusive }, now);
    }
  }
}

describe("requests that only run beside a crash", () => {
  it("are not quarantined by three losses of power of a rack", () => {
    const fleet = new Fleet();
    for (const now of [0, 5000, 10_000]) {
      // A popular request runs at two of the rack's targets.
      fleet.end(["popular", "a"], false, now);
      fleet.end(["popular", "b"], false, now);
      expect(fleet.suspects.standing("popular", now)).toBe(Standing.suspect);
      // The next run ends.
      fleet.suspects.clear("popular");
    }
    expect(fleet.suspects.standing("popular", 10_001)).toBe(Standing.clear);
  });

  it("are not quarantined although they run with it at every target", () => {
    const fleet = new Fleet();
    for (let now = 0; now < 2; now += 1) {
      fleet.end(["deadly", "popular"], false, now);
    }
    // From the second end on, each is attempted by itself.
    for (const digest of ["popular", "deadly"]) {
      expect(fleet.suspects.needsExclusiveAttempt(digest)).toBe(true);
    }
    fleet.suspects.clear("popular");
    fleet.end(["deadly"], true, 3);
    expect(fleet.suspects.standing("popular", 3)).toBe(Standing.clear);
    expect(fleet.suspects.standing("deadly", 3)).toBe(Standing.quarantined);
  });
});
