import { beforeEach, describe, expect, it } from "vitest";
import { BorrowerRecorder, ProposalResult } from "./borrower_recorder.ts";
import { changeBorrowers } from "./borrowers.ts";
import type { BorrowerChange, Borrowers } from "./borrowers.ts";

interface Proposal {
  readonly change: BorrowerChange;
  readonly done: (result: ProposalResult) => void;
}

describe("BorrowerRecorder", () => {
  let committed: Borrowers;
  let proposals: Proposal[];
  let extended: string[];
  let isNeeded: boolean;
  let recorder: BorrowerRecorder;

  beforeEach(() => {
    committed = new Map();
    proposals = [];
    extended = [];
    isNeeded = true;
    recorder = new BorrowerRecorder({
      committed: () => committed,
      isNeeded: () => isNeeded,
      propose: (change, done) => proposals.push({ change, done }),
      onExtended: (gateways) => extended.push(...gateways),
    });
  });

  function commitLast(): void {
    const { change, done } = proposals.at(-1)!;
    committed = changeBorrowers(committed, change);
    done(ProposalResult.committed);
  }

  // Failure: the next leader would not know of the loan.
  it("lends only once the entry is committed", () => {
    recorder.add("a/1");
    recorder.tick(0);
    expect(recorder.mayLend("a/1")).toBe(false);
    commitLast();
    expect(recorder.mayLend("a/1")).toBe(true);
    expect(extended).toEqual(["a"]);
  });

  it("records borrowers that appear together by one entry", () => {
    for (const id of ["a/1", "b/1"]) recorder.add(id);
    recorder.tick(0);
    expect(proposals.map(({ change }) => change.add)).toEqual([["a/1", "b/1"]]);
    recorder.add("c/1");
    recorder.add("d/1");
    recorder.tick(500);
    expect(proposals).toHaveLength(1);
    commitLast();
    recorder.tick(500);
    expect(proposals.at(-1)!.change.add).toEqual(["c/1", "d/1"]);
  });

  // No build without this command takes part while there are limits.
  it("proposes nothing without a limit", () => {
    isNeeded = false;
    recorder.add("a/1");
    recorder.tick(0);
    expect(proposals).toEqual([]);
  });

  describe("with a borrower to remove", () => {
    beforeEach(() => {
      committed = new Map([["a/1", new Map()]]);
      recorder.remove("a/1", 0);
    });

    it("waits for others", () => {
      recorder.tick(9999);
      expect(proposals).toEqual([]);
      recorder.tick(10_000);
      expect(proposals.at(-1)!.change).toEqual({ add: [], remove: ["a/1"] });
    });

    it("removes it with the next entry", () => {
      recorder.add("b/1");
      recorder.tick(10);
      expect(proposals.at(-1)!.change)
        .toEqual({ add: ["b/1"], remove: ["a/1"] });
    });

    it("keeps it if it reports before the entry is proposed", () => {
      recorder.add("a/1");
      recorder.tick(20_000);
      expect(proposals).toEqual([]);
      expect(recorder.mayLend("a/1")).toBe(true);
    });

    // Failure: a loan between the proposal and the commit of its removal would
    // be unknown to the next leader.
    it("lends nothing from the proposal on until it is added again", () => {
      recorder.tick(10_000);
      recorder.add("a/1");
      expect(recorder.mayLend("a/1")).toBe(false);
      commitLast();
      expect(recorder.mayLend("a/1")).toBe(false);
      recorder.tick(10_100);
      expect(proposals.at(-1)!.change).toEqual({ add: ["a/1"], remove: [] });
      commitLast();
      expect(recorder.mayLend("a/1")).toBe(true);
    });

    it("lends again after an entry that was not committed", () => {
      recorder.tick(10_000);
      proposals.at(-1)!.done(ProposalResult.rejected);
      expect(recorder.mayLend("a/1")).toBe(true);
    });

    // Failure: the next leader may commit the removal of a borrower with loans.
    it("lends nothing after an entry whose commit is not known", () => {
      recorder.tick(10_000);
      proposals.at(-1)!.done(ProposalResult.unknown);
      recorder.add("a/1");
      recorder.tick(20_000);
      expect(recorder.mayLend("a/1")).toBe(false);
      expect(proposals).toHaveLength(1);
    });
  });

  describe("with bounds", () => {
    beforeEach(() => {
      committed = new Map([["a/1", new Map([["works", 50]])]]);
    });

    // Failure: the next leader would count the lower bound.
    it("lends by a higher bound only once it is committed", () => {
      recorder.raise("a/1", "works", 100);
      recorder.tick(0);
      expect(recorder.bound("a/1", "works", 100)).toBe(50);
      commitLast();
      expect(recorder.bound("a/1", "works", 100)).toBe(100);
      expect(extended).toEqual(["a"]);
    });

    it("has a default bound of an eighth, and at least 2", () => {
      expect(recorder.bound("b/1", "works", 100)).toBe(12);
      expect(recorder.bound("b/1", "works", 9)).toBe(2);
      expect(recorder.bound("b/1", "works", 1)).toBe(1);
    });

    // Failure: a loan between the proposal and the commit of a lower bound would
    // be counted too low by the next leader.
    it("lends by a lower bound from the moment it is asked for", () => {
      recorder.reduce(["a/1", "works", 0], 0);
      expect(recorder.bound("a/1", "works", 100)).toBe(12);
      recorder.tick(10_000);
      expect(proposals.at(-1)!.change.bounds).toEqual([["a/1", "works", 0]]);
      proposals.at(-1)!.done(ProposalResult.unknown);
      recorder.raise("a/1", "works", 50);
      expect(recorder.bound("a/1", "works", 100)).toBe(12);
    });

    it("keeps the bound if it is needed before the entry is proposed", () => {
      recorder.reduce(["a/1", "works", 0], 0);
      recorder.raise("a/1", "works", 25);
      recorder.tick(20_000);
      expect(proposals).toEqual([]);
      expect(recorder.bound("a/1", "works", 100)).toBe(50);
    });

    it("raises a bound again that an entry in progress lowers", () => {
      recorder.reduce(["a/1", "works", 0], 0);
      recorder.tick(10_000);
      recorder.raise("a/1", "works", 25);
      commitLast();
      recorder.tick(10_100);
      expect(proposals.at(-1)!.change.bounds).toEqual([["a/1", "works", 25]]);
    });

    it("records no bound of a borrower that it removes", () => {
      recorder.raise("a/1", "works", 100);
      recorder.remove("a/1", 0);
      recorder.tick(0);
      expect(proposals.at(-1)!.change).toEqual({ add: [], remove: ["a/1"] });
    });
  });
});
