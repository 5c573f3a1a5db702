import { setTimeout as pause } from "node:timers/promises";
import type { FakeTarget } from "@kingcupglade/fakes";
import { Disturbance } from "./disturbance.ts";
import type { DisturbanceContext } from "./disturbance.ts";
import {
  CutControlLeader,
  CutDataCentre,
  CutOneWay,
  CutRegion,
  CutVm,
  PauseVm,
} from "./network_disturbances.ts";
import {
  LoseVoterAfterRepair,
  RestartFarBehind,
} from "./voter_disturbances.ts";

const leaveTimeoutMilliseconds = 6000;

class KillTarget extends Disturbance {
  override readonly name = "target killed";

  override async run(context: DisturbanceContext): Promise<void> {
    const target = pickTarget(context);
    target.kill();
    await pause(context.random.integer(200, 3000));
    await target.restart();
  }
}

class FreezeTarget extends Disturbance {
  override readonly name = "target frozen";

  override async run(context: DisturbanceContext): Promise<void> {
    const target = pickTarget(context);
    target.freeze();
    await pause(context.random.integer(100, 3500));
    target.thaw();
  }
}

class MarkTargetCold extends Disturbance {
  override readonly name = "target cold";

  override async run(context: DisturbanceContext): Promise<void> {
    const target = pickTarget(context);
    target.condition = "cold";
    await pause(context.random.integer(500, 2500));
    target.condition = "serving";
  }
}

class DrainTarget extends Disturbance {
  override readonly name = "target left";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment } = context;
    const target = pickTarget(context);
    target.condition = "leaving";
    const hasDrained = await deployment.until(
      (status) =>
        status.targets.some((each) =>
          each.target === target.name && each.condition === "leaving" &&
          each.ranges === 0
        ),
      leaveTimeoutMilliseconds,
    ).then(() => true, () => false);
    if (hasDrained) await target.stop();
    else target.kill();
    target.condition = "serving";
    await target.restart();
  }
}

class CrashVm extends Disturbance {
  override readonly name = "VM crashed";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment, random } = context;
    const vm = random.pick(deployment.vmNames);
    await deployment.crashVm(vm);
    await pause(random.integer(200, 2500));
    await deployment.startVm(vm);
  }
}

class StopVmAsPlanned extends Disturbance {
  override readonly name = "VM stopped as planned";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment, random, unready } = context;
    const vm = random.pick(deployment.vmNames);
    unready.add(vm);
    await deployment.stopVm(vm);
    await pause(random.integer(200, 1000));
    await deployment.startVm(vm);
    unready.delete(vm);
  }
}

/** Rolls the next version through the VMs in turn until one responds. */
export class RollBundle extends Disturbance {
  override readonly name = "bundle rolled";

  override async run(context: DisturbanceContext): Promise<void> {
    await context.roller.roll(shuffledVms(context));
  }
}

class RaceBundles extends Disturbance {
  override readonly name = "bundles raced";

  override async run(context: DisturbanceContext): Promise<void> {
    const [left, right] = shuffledVms(context);
    await context.roller.rollConcurrently(left!, right!);
  }
}

class ResendBundle extends Disturbance {
  override readonly name = "bundle sent again";

  override async run(context: DisturbanceContext): Promise<void> {
    const { roller, random } = context;
    await roller.resend(shuffledVms(context)[0]!, random.integer(0, 2));
  }
}

class TakeDataCentreOut extends Disturbance {
  override readonly name = "data centre out and back";

  override async run(context: DisturbanceContext): Promise<void> {
    const { roller, random, dataCentres } = context;
    const dataCentre = random.pick(dataCentres).name;
    await roller.setInService(
      { dataCentre, inService: false },
      shuffledVms(context),
    );
    await pause(random.integer(3000, 7000));
    await roller.setInService(
      { dataCentre, inService: true },
      shuffledVms(context),
    );
  }
}

/** Lanes run concurrently; the disturbances of a lane run one at a time. */
export const disturbanceLanes = {
  targets: [new KillTarget(), new FreezeTarget(), new DrainTarget()],
  coldTargets: [new MarkTargetCold()],
  vms: [new CrashVm(), new StopVmAsPlanned()],
  bundles: [
    new RollBundle(),
    new RaceBundles(),
    new ResendBundle(),
    new TakeDataCentreOut(),
  ],
  network: [
    new CutVm(),
    new CutOneWay(),
    new CutDataCentre(),
    new CutRegion(),
  ],
  pauses: [new PauseVm()],
} as const satisfies Readonly<Record<string, readonly Disturbance[]>>;

/** Faults that a deployment must tolerate, one at a time and in pairs. */
export const faultLanes = {
  partitioned: disturbanceLanes.network,
  paused: disturbanceLanes.pauses,
  lost: [new CrashVm()],
  frozenTarget: [new FreezeTarget()],
  coldTarget: disturbanceLanes.coldTargets,
  leaderCutForLong: [new CutControlLeader()],
  operatorsRace: [new RaceBundles(), new ResendBundle()],
  lostAfterRepair: [new LoseVoterAfterRepair()],
  restartedFarBehind: [new RestartFarBehind()],
} as const satisfies Readonly<Record<string, readonly Disturbance[]>>;

function pickTarget(context: DisturbanceContext): FakeTarget {
  return context.deployment.targets.get(context.random.pick(context.targets))!;
}

function shuffledVms(context: DisturbanceContext): readonly string[] {
  const { deployment, random } = context;
  return deployment.vmNames
    .map((name) => ({ name, order: random.number() }))
    .sort((left, right) => left.order - right.order)
    .map((each) => each.name);
}
