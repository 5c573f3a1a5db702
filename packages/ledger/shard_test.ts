import {
  assert,
  constantFrom,
  integer,
  oneof,
  property,
  record,
} from "fast-check";
import { array, constant } from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { claimOf, contentDigest, regionOfClaim } from "./claim.ts";
import type { LedgerBatch, LedgerUpdate } from "./record.ts";
import { LedgerShard } from "./shard.ts";

const retentionMilliseconds = 1000;
const noAnswer = { state: "done", content: "c", answer: null } as const;

function batchOf(
  shard: LedgerShard,
  change: Partial<LedgerBatch> = {},
): LedgerBatch {
  return {
    epoch: shard.role.epoch,
    sequence: 0,
    first: true,
    last: true,
    blockedMilliseconds: shard.blockedMilliseconds(0),
    updates: shard.snapshot(0),
    ...change,
  };
}

describe("a ledger shard", () => {
  let holder: LedgerShard;
  let standby: LedgerShard;

  beforeEach(() => {
    holder = new LedgerShard({ retentionMilliseconds, maximumRecords: 3 });
    standby = new LedgerShard({ retentionMilliseconds, maximumRecords: 3 });
    holder.assign({ part: "holder", epoch: 1, previousEpoch: 0 }, 0);
    standby.assign({ part: "standby", epoch: 1, previousEpoch: 0 }, 0);
    standby.receive(batchOf(holder), 0);
  });

  const replicate = (update: LedgerUpdate, sequence: number) =>
    standby.receive({
      ...batchOf(holder),
      sequence,
      first: false,
      last: false,
      updates: [update],
    }, 0);

  const open = (id: string) => {
    const decision = holder.claim(id, "c", 0);
    if (decision.kind !== "run") throw new Error(decision.kind);
    return decision.update;
  };

  describe("at its holder", () => {
    it("runs a claim once and tells how it ended", () => {
      open("a");
      expect(holder.claim("a", "c", 1).kind).toBe("running");
      holder.settle("a", noAnswer, 1);
      expect(holder.claim("a", "c", 2)).toEqual({
        kind: "ended",
        record: noAnswer,
      });
      expect(holder.claim("a", "other", 2).kind).toBe("conflict");
    });

    it("refuses rather than forgets when it is full", () => {
      for (const id of ["a", "b", "c"]) open(id);
      expect(holder.claim("d", "c", 1).kind).toBe("full");
      holder.settle("a", noAnswer, 0);
      expect(holder.claim("d", "c", retentionMilliseconds + 1).kind).toBe(
        "run",
      );
    });
  });

  describe("after its holder is lost", () => {
    it("calls open claims unknown, takes a late outcome, and fences the old holder", () => {
      replicate(open("a"), 1);
      standby.assign({ part: "holder", epoch: 2, previousEpoch: 1 }, 5);
      expect(standby.claim("a", "c", 6)).toMatchObject({
        kind: "ended",
        record: { state: "unknown" },
      });
      expect(replicate(open("b"), 2).kind).toBe("fenced");
      expect(standby.settleLate("a", noAnswer, 7)).not.toBeNull();
      expect(standby.claim("a", "c", 8)).toMatchObject({ record: noAnswer });
    });

    it.each([
      ["missed an assignment", { epoch: 3, previousEpoch: 2 }],
      ["did not get the whole copy", { epoch: 2, previousEpoch: 1 }],
    ])("tells what may be forgotten when the standby %s", (name, epochs) => {
      if (name !== "missed an assignment") {
        standby = new LedgerShard({ retentionMilliseconds });
        standby.receive(batchOf(holder, { last: false }), 0);
      }
      standby.assign({ part: "holder", ...epochs }, 10);
      expect(standby.claim("x", "c", 10)).toEqual({
        kind: "lost",
        forMilliseconds: retentionMilliseconds,
      });
      expect(standby.claim("x", "c", 10 + retentionMilliseconds).kind).toBe(
        "run",
      );
    });
  });

  describe("at its standby", () => {
    it("applies a repeated batch once and refuses to skip one", () => {
      const update = open("a");
      expect(replicate(update, 2).kind).toBe("gap");
      expect(replicate(update, 1).kind).toBe("accepted");
      expect(replicate(holder.release("a"), 2).kind).toBe("accepted");
      expect(replicate(update, 1).kind).toBe("accepted");
      expect(standby.size).toBe(0);
    });
  });
});

/** Three VMs, of which control makes one the holder and one the standby. */
class LedgerModel {
  readonly runs = new Map<string, number>();
  #now = 0;
  #epoch = 0;
  #copies = Array.from({ length: 3 }, () => this.#copy());
  #holder = 0;
  #standby = 1;
  #sequence = 0;

  constructor() {
    this.reassign(0, 1);
  }

  reassign(holder: number, standby: number): void {
    const previousEpoch = this.#epoch;
    this.#epoch += 1;
    [this.#holder, this.#standby] = [holder, standby];
    this.#copies.forEach((copy, index) => {
      const part = index === holder
        ? "holder"
        : index === standby
        ? "standby"
        : "none";
      copy.assign({ part, epoch: this.#epoch, previousEpoch }, this.#now);
    });
    this.#sequence = 0;
  }

  /** Loses a VM's memory; its duties pass on. */
  crash(vm: number): void {
    this.#copies[vm] = this.#copy();
    const others = [0, 1, 2].filter((each) => each !== vm);
    const kept = [this.#holder, this.#standby].filter((each) => each !== vm);
    const [holder, standby] = [...new Set([...kept, ...others])];
    this.reassign(holder!, standby!);
  }

  synchronise(): boolean {
    const holder = this.#copies[this.#holder]!;
    return this.#send(holder.snapshot(this.#now), true);
  }

  /** Asks for a claim at any VM; it may stop after each step. */
  ask(vm: number, id: string, stopAfter: number): void {
    const copy = this.#copies[vm]!;
    const decision = copy.claim(id, "c", this.#now);
    if (decision.kind !== "run" || vm !== this.#holder) return;
    if (this.#sequence === 0 && !this.synchronise()) return;
    if (stopAfter === 0 || !this.#send([decision.update], false)) return;
    if (stopAfter === 1) return;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    if (stopAfter === 2) return;
    const update = copy.settle(id, noAnswer, this.#now);
    if (stopAfter > 3) this.#send([update], false);
  }

  #send(updates: readonly LedgerUpdate[], whole: boolean): boolean {
    const holder = this.#copies[this.#holder]!;
    if (whole) this.#sequence = 0;
    const answer = this.#copies[this.#standby]!.receive({
      epoch: this.#epoch,
      sequence: this.#sequence,
      first: whole,
      last: whole,
      blockedMilliseconds: holder.blockedMilliseconds(this.#now),
      updates,
    }, this.#now);
    if (answer.kind !== "accepted") return false;
    this.#sequence += 1;
    this.#now += 1;
    return true;
  }

  #copy(): LedgerShard {
    return new LedgerShard({ retentionMilliseconds: 1e9 });
  }
}

describe("a ledger whose VMs are lost at any step", () => {
  it("never runs a claim twice", () => {
    const vm = integer({ min: 0, max: 2 });
    const step = oneof(
      record({
        kind: constant("ask" as const),
        vm,
        id: constantFrom("a", "b", "c"),
        stopAfter: integer({ min: 0, max: 4 }),
      }),
      record({ kind: constant("crash" as const), vm }),
      record({ kind: constant("synchronise" as const) }),
    );
    assert(
      property(array(step, { maxLength: 40 }), (steps) => {
        const model = new LedgerModel();
        for (const each of steps) {
          if (each.kind === "ask") {
            model.ask(each.vm, each.id, each.stopAfter);
          } else if (each.kind === "crash") model.crash(each.vm);
          else model.synchronise();
        }
        expect([...model.runs.values()].every((runs) => runs === 1)).toBe(true);
      }),
      { numRuns: 3000, seed: 5 },
    );
  });
});

describe("a claim", () => {
  const claim = claimOf({ service: "s", tenant: "t", idempotencyKey: "k" });

  it("differs by service, tenant and key, and its content by every part", () => {
    const other = claimOf({ service: "s", tenant: "u", idempotencyKey: "k" });
    expect(other.id).not.toBe(claim.id);
    const content = { method: "POST", path: "/a", body: Buffer.from("b") };
    expect(contentDigest({ ...content, path: "/b" })).not.toBe(
      contentDigest(content),
    );
  });

  it("keeps its region when another region comes or goes", () => {
    const regions = ["x", "y", "z"];
    const region = regionOfClaim(claim, regions)!;
    const others = regions.filter((each) => each !== region);
    expect(regionOfClaim(claim, [region, others[0]!])).toBe(region);
    expect(regionOfClaim(claim, [])).toBeUndefined();
  });
});
