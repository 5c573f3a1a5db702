import { Disturbance } from "./disturbance.ts";
import type { DisturbanceContext } from "./disturbance.ts";
import type { Deployment } from "./deployment.ts";

const repairTimeoutMilliseconds = 15_000;
const maximumMissedRolls = 200;
const maximumRollingMilliseconds = 15_000;

/** Crashes a voter, and another as soon as the first has been replaced. */
export class LoseVoterAfterRepair extends Disturbance {
  override readonly name = "voter lost right after a repair";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment, random } = context;
    const before = await votersOf(deployment);
    const first = random.pick(before);
    await deployment.crashVm(first);
    const after = await deployment.until(
      (status) =>
        status.replicas.voters.every((each) => vmOf(each) !== first) &&
        status.replicas.learners.length === 0,
      repairTimeoutMilliseconds,
    ).catch(() => null);
    const survivors = (after?.replicas.voters ?? []).map(vmOf).filter((vm) =>
      deployment.runningVms.includes(vm)
    );
    const second = survivors.length > 0 ? random.pick(survivors) : undefined;
    if (second) await deployment.crashVm(second);
    await deployment.startVm(first);
    if (second) await deployment.startVm(second);
  }
}

/** Restarts a voter after it has missed up to 200 bundle rolls. */
export class RestartFarBehind extends Disturbance {
  override readonly name = "voter restarted far behind";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment, random, roller } = context;
    const vm = random.pick(await votersOf(deployment));
    await deployment.crashVm(vm);
    const until = performance.now() + maximumRollingMilliseconds;
    const others = deployment.runningVms;
    for (let roll = 0; roll < maximumMissedRolls; roll += 1) {
      if (performance.now() > until) break;
      await roller.roll(others);
    }
    await deployment.startVm(vm);
  }
}

async function votersOf(deployment: Deployment): Promise<readonly string[]> {
  const { replicas } = await deployment.until((status) =>
    status.replicas.voters.length > 0
  );
  return replicas.voters.map(vmOf).filter((vm) =>
    deployment.runningVms.includes(vm)
  );
}

function vmOf(replica: string): string {
  return replica.split(".")[0]!;
}
