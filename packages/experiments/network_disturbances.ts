import { setTimeout as pause } from "node:timers/promises";
import { Disturbance } from "./disturbance.ts";
import type { DisturbanceContext } from "./disturbance.ts";

const minimumCutMilliseconds = 300;
const maximumCutMilliseconds = 4000;
const longCutMilliseconds = 9000;
const minimumPauseMilliseconds = 50;
const maximumPauseMilliseconds = 3000;

/** A fault of the network or of the process of a VM. */
abstract class NetworkDisturbance extends Disturbance {
  override readonly maximumIntervalMilliseconds = 2500;
}

/** Isolates a VM from all others. */
export class CutVm extends NetworkDisturbance {
  override readonly name = "VM cut off";

  override async run(context: DisturbanceContext): Promise<void> {
    const vm = context.random.pick(context.deployment.vmNames);
    await cutTemporarily(context, [vm]);
  }
}

/** Cuts either what a VM sends to the others or what they send to it. */
export class CutOneWay extends NetworkDisturbance {
  override readonly name = "VM cut off one way";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment, random } = context;
    const vm = random.pick(deployment.vmNames);
    const restore = random.number() < 0.5
      ? deployment.links.cut([vm], deployment.vmNames)
      : deployment.links.cut(deployment.vmNames, [vm]);
    await pause(random.integer(minimumCutMilliseconds, maximumCutMilliseconds));
    restore();
  }
}

/** Isolates the VMs of a data centre from all others. */
export class CutDataCentre extends NetworkDisturbance {
  override readonly name = "data centre cut off";

  override async run(context: DisturbanceContext): Promise<void> {
    const { name } = context.random.pick(context.dataCentres);
    const vms = context.deployment.vmsWhere((each) => each.name === name);
    await cutTemporarily(context, vms);
  }
}

/** Isolates the VMs of a region from all others. */
export class CutRegion extends NetworkDisturbance {
  override readonly name = "region cut off";

  override async run(context: DisturbanceContext): Promise<void> {
    const { region } = context.random.pick(context.dataCentres);
    const vms = context.deployment.vmsWhere((each) => each.region === region);
    await cutTemporarily(context, vms);
  }
}

/** Isolates the control leader for longer than every lease. */
export class CutControlLeader extends NetworkDisturbance {
  override readonly name = "control leader cut off for long";

  override async run(context: DisturbanceContext): Promise<void> {
    const { leader } = await context.deployment.until((status) =>
      status.leader !== ""
    );
    await cutTemporarily(context, [leader], longCutMilliseconds);
  }
}

/** Pauses a VM, which resumes without noticing the pause. */
export class PauseVm extends NetworkDisturbance {
  override readonly name = "VM paused";

  override async run(context: DisturbanceContext): Promise<void> {
    const { deployment, random } = context;
    const vm = random.pick(deployment.runningVms);
    const resume = deployment.pauseVm(vm);
    await pause(
      random.integer(minimumPauseMilliseconds, maximumPauseMilliseconds),
    );
    resume();
  }
}

async function cutTemporarily(
  context: DisturbanceContext,
  vms: readonly string[],
  milliseconds = context.random.integer(
    minimumCutMilliseconds,
    maximumCutMilliseconds,
  ),
): Promise<void> {
  const { deployment } = context;
  const others = deployment.vmNames.filter((each) => !vms.includes(each));
  const restores = [
    deployment.links.cut(vms, others),
    deployment.links.cut(others, vms),
  ];
  await pause(milliseconds);
  for (const restore of restores) restore();
}
