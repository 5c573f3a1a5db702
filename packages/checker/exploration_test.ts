import { describe, expect, it } from "vitest";
import { explore, formatExploration } from "./explore.ts";
import { ConsensusModel } from "./worlds/consensus_world.ts";
import type { ConsensusMutation } from "./worlds/consensus_world.ts";

const bounds = { maximumDepth: 40, maximumStates: 60_000 };

describe("exploration of the consensus machine", () => {
  const budgets = {
    fresh: { ticks: 2, proposals: 0, restarts: 1 },
    rivals: { ticks: 0, proposals: 0, restarts: 1 },
    led: { ticks: 1, proposals: 1, restarts: 1 },
  } as const;

  const exploreFrom = (
    start: keyof typeof budgets,
    mutation?: ConsensusMutation,
  ) => {
    const model = new ConsensusModel({
      start,
      remaining: budgets[start],
      ...(mutation ? { mutation } : {}),
    });
    return explore(model, {
      ...bounds,
      maximumStates: mutation ? bounds.maximumStates : 20_000,
    });
  };

  describe("with three replicas in every order", () => {
    for (const start of ["fresh", "rivals", "led"] as const) {
      it(`keeps one leader a term and every committed entry: ${start}`, () => {
        const result = exploreFrom(start);
        console.info(`consensus, ${start}: ${formatExploration(result)}`);
        expect(result.violation).toBeNull();
        expect(result.states).toBeGreaterThan(10_000);
      });
    }
  });

  describe("with a faulty replica", () => {
    it("finds two leaders when a vote is not stored", () => {
      expect(exploreFrom("rivals", "forgetsVote").violation?.message)
        .toMatch(/both lead in term 1/);
    });

    it("finds two leaders when refused votes count", () => {
      expect(exploreFrom("rivals", "countsEveryVote").violation?.message)
        .toMatch(/both lead in term 1/);
    });

    it("finds a lost entry when answers leave before the sync", () => {
      expect(exploreFrom("led", "sendsBeforeSync").violation?.message)
        .toMatch(/without the committed entry/);
    });
  });
});
