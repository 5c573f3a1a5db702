import { NotLeaderError, UnknownOutcomeError } from "kingcupglade";
import { Deployment } from "../deployment.ts";
import type { Experiment, Figure } from "../experiment.ts";
import { hsinchu } from "../hsinchu.ts";
import { MemberFault, ReplicaGroup } from "../replica_group.ts";
import { createConditionCommand } from "./commit.ts";

const rounds = 8;
const recoveryLimitMilliseconds = 2500;

/** Measures failover after a crash, freeze or isolation of the leader. */
export const controlLossExperiment: Experiment = {
  summary: "time until the next control leader commits a command",
  async run({ progress }) {
    const figures: Figure[] = [];
    for (const fault of ["killed", "frozen", "cut off"] as const) {
      const times = await measureGroup(fault);
      progress(`${fault}: ${times.map((each) => each.toFixed(0)).join(" ")}`);
      figures.push(...createFigures(`leader ${fault}, three voters`, times));
    }
    const times = await measureDeployment();
    progress(`nine VMs: ${times.map((each) => each.toFixed(0)).join(" ")}`);
    figures.push(...createFigures("leader killed, nine VMs, rolls", times));
    const gaps = await measureRollGaps();
    progress(`stopped: ${gaps.map((each) => each.toFixed(0)).join(" ")}`);
    figures.push(
      ...createFigures("between rolls, leader stopped as planned", gaps),
    );
    return { figures };
  },
};

function createFigures(
  name: string,
  times: readonly number[],
): readonly Figure[] {
  const sorted = times.toSorted((left, right) => left - right);
  return [
    {
      name: `median, ${name}`,
      value: sorted[Math.floor(sorted.length / 2)]!,
      unit: "ms",
    },
    {
      name: `longest, ${name}`,
      value: sorted.at(-1)!,
      unit: "ms",
      target: { atMost: recoveryLimitMilliseconds },
    },
  ];
}

async function measureGroup(
  fault: "killed" | "frozen" | "cut off",
): Promise<readonly number[]> {
  const group = await ReplicaGroup.start(3);
  const times: number[] = [];
  try {
    for (let round = 0; round < rounds; round += 1) {
      await group.untilLeader();
      const lostMember = group.leader()!;
      const start = performance.now();
      if (fault === "killed") void group.crash(lostMember);
      if (fault === "frozen") group.setFault(lostMember, MemberFault.frozen);
      if (fault === "cut off") group.setFault(lostMember, MemberFault.cutOff);
      await commitThroughOtherLeader(group, lostMember);
      times.push(performance.now() - start);
      if (fault === "killed") await group.restart(lostMember);
      group.setFault(lostMember, MemberFault.none);
      await new Promise((resolve) => setTimeout(resolve, 1500));
    }
    return times;
  } finally {
    await group.stop();
  }
}

async function commitThroughOtherLeader(
  group: ReplicaGroup,
  lostMember: number,
): Promise<void> {
  for (;;) {
    const leader = await group.untilLeader(lostMember);
    try {
      await leader.propose(createConditionCommand());
      return;
    } catch (failure) {
      const isRetryable = failure instanceof NotLeaderError ||
        failure instanceof UnknownOutcomeError;
      if (!isRetryable) throw failure;
    }
  }
}

async function measureDeployment(): Promise<readonly number[]> {
  const deployment = await Deployment.start(hsinchu);
  const times: number[] = [];
  try {
    await deployment.roll();
    for (let round = 0; round < rounds / 2; round += 1) {
      const { leader } = await deployment.until((status) =>
        status.vms.filter((each) => !each.lapsed).length === 9
      );
      const start = performance.now();
      void deployment.crashVm(leader);
      await rollThroughOtherVm(deployment, leader);
      times.push(performance.now() - start);
      await new Promise((resolve) => setTimeout(resolve, 500));
      await deployment.startVm(leader);
    }
    return times;
  } finally {
    await deployment.stop();
  }
}

/** Measures the longest gap between accepted rolls per planned leader stop. */
async function measureRollGaps(): Promise<readonly number[]> {
  const deployment = await Deployment.start(hsinchu);
  const gaps: number[] = [];
  try {
    const version = await deployment.roll();
    const signed = deployment.signBundle(version);
    for (let round = 0; round < rounds / 2; round += 1) {
      const { leader } = await deployment.until((status) =>
        status.vms.filter((each) => !each.lapsed).length === 9
      );
      const other = deployment.vmNames.find((each) => each !== leader)!;
      let gap = 0;
      let acceptedAt = performance.now();
      const until = acceptedAt + 2500;
      const stopped = deployment.stopVm(leader);
      while (performance.now() < until) {
        if (await deployment.sendBundle(signed, other) !== 200) continue;
        gap = Math.max(gap, performance.now() - acceptedAt);
        acceptedAt = performance.now();
      }
      gaps.push(Math.max(gap, performance.now() - acceptedAt));
      await stopped;
      await deployment.startVm(leader);
    }
    return gaps;
  } finally {
    await deployment.stop();
  }
}

async function rollThroughOtherVm(
  deployment: Deployment,
  lostVm: string,
): Promise<void> {
  const other = deployment.vmNames.find((each) => each !== lostVm)!;
  const { bundle } = await deployment.status(other).catch(() => ({
    bundle: null,
  }));
  const version = (bundle?.version ?? 0) + 1000;
  const signed = deployment.signBundle(version);
  while (await deployment.sendBundle(signed, other) !== 200) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}
