import { setTimeout as pause } from "node:timers/promises";
import type { CallerResponse } from "@kingcupglade/fakes";
import { Deployment } from "../deployment.ts";
import type { Experiment, ExperimentResult, Figure } from "../experiment.ts";
import { addFixtureTargets } from "../fixture_targets.ts";
import { hsinchu } from "../hsinchu.ts";
import { RandomSource } from "../random_source.ts";

const recoveryLimitMilliseconds = 4000;
const candidateKeyCount = 40;
const probedKeyCount = 4;
const probeIntervalMilliseconds = 50;
const settleMilliseconds = 1500;
const trialsPerCase = 3;

/** A kind of failure of a key's owner. */
interface FailureCase {
  readonly name: string;
  readonly inject: (deployment: Deployment, owner: string) => Promise<void>;
  /** Restores the deployment after the failure. */
  readonly repair: (deployment: Deployment, owner: string) => Promise<void>;
}

const restartOwner = async (deployment: Deployment, owner: string) =>
  await deployment.targets.get(owner)!.restart();

const failureCases: readonly FailureCase[] = [
  {
    name: "killed",
    inject: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.kill()),
    repair: restartOwner,
  },
  {
    name: "frozen",
    inject: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.freeze()),
    repair: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.thaw()),
  },
  {
    name: "killed together with the control leader",
    inject: async (deployment, owner) => {
      const { leader } = await deployment.status();
      deployment.targets.get(owner)!.kill();
      await deployment.crashVm(leader);
    },
    repair: async (deployment, owner) => {
      await restartOwner(deployment, owner);
      for (const vm of deployment.vmNames) {
        if (!deployment.runningVms.includes(vm)) await deployment.startVm(vm);
      }
    },
  },
  {
    name: "cut off",
    inject: (deployment, owner) =>
      Promise.resolve(deployment.targets.get(owner)!.isolate()),
    repair: () => Promise.resolve(),
  },
];

/** Measures how long the keys of a failed owner are unserved. */
export const lostOwnerExperiment: Experiment = {
  summary: "time until the keys of a failed owner are served again",
  async run({ seed, progress }): Promise<ExperimentResult> {
    const random = new RandomSource(seed);
    const deployment = await Deployment.start(hsinchu);
    try {
      await deployment.roll();
      await startTargets(deployment);
      const figures: Figure[] = [];
      const plannedTimes = await measure(deployment, random, leavingCase);
      for (const failureCase of failureCases) {
        const times: RecoveryTimes[] = [];
        for (let trial = 0; trial < trialsPerCase; trial += 1) {
          times.push(await measure(deployment, random, failureCase));
          progress(`${failureCase.name}: ${formatTimes(times.at(-1)!)}`);
        }
        figures.push(...createFigures(failureCase.name, times, plannedTimes));
      }
      return { figures };
    } finally {
      await deployment.stop();
    }
  },
};

/** Baseline: an owner that announces its departure. */
const leavingCase: FailureCase = {
  name: "leaving",
  inject: async (deployment, owner) => {
    deployment.targets.get(owner)!.condition = "leaving";
    await deployment.targets.get(owner)!.announceNow();
  },
  repair: async (deployment, owner) => {
    deployment.targets.get(owner)!.condition = "serving";
    await deployment.targets.get(owner)!.announceNow();
  },
};

interface RecoveryTimes {
  /** Milliseconds until the new owner of the key served last held its grant. */
  readonly granted: number;
  /** Milliseconds until every key was served. */
  readonly served: number;
}

async function measure(
  deployment: Deployment,
  random: RandomSource,
  failureCase: FailureCase,
): Promise<RecoveryTimes> {
  const keys = Array.from(
    { length: candidateKeyCount },
    () => `clamp-${random.integer(1, 1e6)}`,
  );
  const responsesBefore = await Promise.all(
    keys.map((key) => send(deployment, random, key)),
  );
  const owner = responsesBefore.find((each) => each.target !== "")!.target;
  const affectedKeys = keys.filter((_, index) =>
    responsesBefore[index]!.target === owner
  )
    .slice(0, probedKeyCount);
  const lostAt = performance.now();
  await failureCase.inject(deployment, owner);
  const served = await Promise.all(
    affectedKeys.map((key) => untilServed({ deployment, random, key, owner })),
  );
  const lastServed = served.reduce((latest, each) =>
    each.at > latest.at ? each : latest
  );
  const granted = deployment.history.events.find((event) =>
    event.kind === "granted" && event.target === lastServed.answer.target &&
    event.at > lostAt &&
    event.grants.some((grant) => grant.epoch === lastServed.answer.epoch)
  );
  await failureCase.repair(deployment, owner);
  await deployment.until((status) =>
    status.groups.every((each) => each.withoutOwner + each.moving === 0)
  );
  await pause(settleMilliseconds);
  return {
    granted: (granted?.at ?? Infinity) - lostAt,
    served: lastServed.at - lostAt,
  };
}

/**
 * Probes a key at a fixed interval, without waiting for earlier responses,
 * until a target other than the failed owner responds.
 */
function untilServed(probe: {
  readonly deployment: Deployment;
  readonly random: RandomSource;
  readonly key: string;
  readonly owner: string;
}): Promise<{ readonly answer: CallerResponse; readonly at: number }> {
  const { deployment, random, key, owner } = probe;
  return new Promise((resolve) => {
    const timer = setInterval(async () => {
      const response = await send(deployment, random, key);
      if (response.outcome !== "answered" || response.target === owner) return;
      clearInterval(timer);
      resolve({ answer: response, at: performance.now() });
    }, probeIntervalMilliseconds);
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

function createFigures(
  name: string,
  times: readonly RecoveryTimes[],
  baseline: RecoveryTimes,
): readonly Figure[] {
  return [
    {
      name: `${name}: longest time unserved`,
      value: Math.max(...times.map((each) => each.served)),
      unit: "ms",
      baseline: baseline.served,
      target: { atMost: recoveryLimitMilliseconds },
    },
    {
      name: `${name}: longest time until the new grant was held`,
      value: Math.max(...times.map((each) => each.granted)),
      unit: "ms",
      baseline: baseline.granted,
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

function formatTimes(times: RecoveryTimes): string {
  return `granted after ${Math.round(times.granted)} ms, served after ${
    Math.round(times.served)
  } ms`;
}
