import { setTimeout as pause } from "node:timers/promises";
import type { CallerAnswer } from "@kingcupglade/fakes";
import { Deployment } from "../deployment.ts";
import type { Experiment, ExperimentResult, Figure } from "../experiment.ts";
import { addFixtureTargets } from "../fixture_targets.ts";
import { hsinchu } from "../hsinchu.ts";
import { RandomSource } from "../random_source.ts";

const targetMilliseconds = 4000;
const keysPerCase = 40;
const keysWatched = 4;
const probeMilliseconds = 50;
const settleMilliseconds = 1500;
const trialsPerCase = 3;

/** A way in which the owner of a key is lost. */
interface LossCase {
  readonly name: string;
  readonly lose: (deployment: Deployment, owner: string) => Promise<void>;
  /** Makes the deployment whole again. */
  readonly repair: (deployment: Deployment, owner: string) => Promise<void>;
}

const revive = async (deployment: Deployment, owner: string) =>
  await deployment.targets.get(owner)!.restart();

const lossCases: readonly LossCase[] = [
  {
    name: "killed",
    lose: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.kill()),
    repair: revive,
  },
  {
    name: "frozen",
    lose: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.freeze()),
    repair: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.thaw()),
  },
  {
    name: "killed together with the control leader",
    lose: async (deployment, owner) => {
      const { leader } = await deployment.status();
      deployment.targets.get(owner)!.kill();
      await deployment.crashVm(leader);
    },
    repair: async (deployment, owner) => {
      await revive(deployment, owner);
      for (const vm of deployment.vmNames) {
        if (!deployment.runningVms.includes(vm)) await deployment.startVm(vm);
      }
    },
  },
  {
    name: "cut off",
    lose: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.cutOff()),
    repair: () => Promise.resolve(),
  },
];

/** Loses the owner of some keys and measures until each is served again. */
export const lostOwnerExperiment: Experiment = {
  summary: "time until the keys of a lost owner are served again",
  async run({ seed, progress }): Promise<ExperimentResult> {
    const random = new RandomSource(seed);
    const deployment = await Deployment.start(hsinchu);
    try {
      await deployment.roll();
      await startTargets(deployment);
      const figures: Figure[] = [];
      const leaving = await measure(deployment, random, leavingCase);
      for (const lossCase of lossCases) {
        const times: LossTimes[] = [];
        for (let trial = 0; trial < trialsPerCase; trial += 1) {
          times.push(await measure(deployment, random, lossCase));
          progress(`${lossCase.name}: ${format(times.at(-1)!)}`);
        }
        figures.push(...figuresOf(lossCase.name, times, leaving));
      }
      return { figures };
    } finally {
      await deployment.stop();
    }
  },
};

/** The baseline: an owner that announces that it leaves. */
const leavingCase: LossCase = {
  name: "leaving",
  lose: async (deployment, owner) => {
    deployment.targets.get(owner)!.condition = "leaving";
    await deployment.targets.get(owner)!.announceNow();
  },
  repair: async (deployment, owner) => {
    deployment.targets.get(owner)!.condition = "serving";
    await deployment.targets.get(owner)!.announceNow();
  },
};

interface LossTimes {
  /** Until the new owner of the key that waited longest held its grant. */
  readonly granted: number;
  /** Until every key was answered. */
  readonly served: number;
}

async function measure(
  deployment: Deployment,
  random: RandomSource,
  lossCase: LossCase,
): Promise<LossTimes> {
  const names = Array.from(
    { length: keysPerCase },
    () => `clamp-${random.integer(1, 1e6)}`,
  );
  const before = await Promise.all(
    names.map((key) => send(deployment, random, key)),
  );
  const owner = before.find((each) => each.target !== "")!.target;
  const affected = names.filter((_, index) => before[index]!.target === owner)
    .slice(0, keysWatched);
  const lostAt = performance.now();
  await lossCase.lose(deployment, owner);
  const served = await Promise.all(
    affected.map((key) => untilServed({ deployment, random, key, owner })),
  );
  const last = served.reduce((latest, each) =>
    each.at > latest.at ? each : latest
  );
  const granted = deployment.history.events.find((event) =>
    event.kind === "granted" && event.target === last.answer.target &&
    event.at > lostAt &&
    event.grants.some((grant) => grant.epoch === last.answer.epoch)
  );
  await lossCase.repair(deployment, owner);
  await deployment.until((status) =>
    status.groups.every((each) => each.withoutOwner + each.moving === 0)
  );
  await pause(settleMilliseconds);
  return {
    granted: (granted?.at ?? Infinity) - lostAt,
    served: last.at - lostAt,
  };
}

/**
 * Asks for a key in even steps, without waiting for the answers, until another
 * target than its lost owner has answered.
 */
function untilServed(probe: {
  readonly deployment: Deployment;
  readonly random: RandomSource;
  readonly key: string;
  readonly owner: string;
}): Promise<{ readonly answer: CallerAnswer; readonly at: number }> {
  const { deployment, random, key, owner } = probe;
  return new Promise((resolve) => {
    const timer = setInterval(async () => {
      const answer = await send(deployment, random, key);
      if (answer.outcome !== "answered" || answer.target === owner) return;
      clearInterval(timer);
      resolve({ answer, at: performance.now() });
    }, probeMilliseconds);
  });
}

function send(deployment: Deployment, random: RandomSource, key: string) {
  return deployment.caller.send({
    vm: deployment.callersAddress(random.pick(deployment.runningVms)),
    method: "GET",
    path: `/fixtures/${key}`,
    tenant: "toolroom",
    key,
  });
}

function figuresOf(
  name: string,
  times: readonly LossTimes[],
  leaving: LossTimes,
): readonly Figure[] {
  return [
    {
      name: `${name}: longest time unserved`,
      value: Math.max(...times.map((each) => each.served)),
      unit: "ms",
      baseline: leaving.served,
      target: { atMost: targetMilliseconds },
    },
    {
      name: `${name}: longest time until the new grant was held`,
      value: Math.max(...times.map((each) => each.granted)),
      unit: "ms",
      baseline: leaving.granted,
    },
  ];
}

async function startTargets(deployment: Deployment): Promise<void> {
  await addFixtureTargets(deployment, { perDataCentre: 2 });
  await deployment.until((status) =>
    status.groups.every((group) => group.withoutOwner === 0)
  );
  for (const vm of deployment.vmNames) await deployment.untilReady(vm);
  await pause(settleMilliseconds);
}

function format(times: LossTimes): string {
  return `granted after ${Math.round(times.granted)} ms, served after ${
    Math.round(times.served)
  } ms`;
}
