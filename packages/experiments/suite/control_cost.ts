import { request } from "undici";
import { Deployment } from "../deployment.ts";
import type { Experiment, ExperimentResult, Figure } from "../experiment.ts";
import { hsinchu } from "../hsinchu.ts";

const targetCounts = [12, 60, 120] as const;
const measuredSeconds = 5;

/** Control work per second in a deployment without callers. */
interface ControlCost {
  readonly processorMilliseconds: number;
  readonly renewals: number;
  readonly renewalBytes: number;
  readonly announcements: number;
  readonly announcementBytes: number;
}

/** Measures messages, bytes and processor time of control when idle. */
export const controlCostExperiment: Experiment = {
  summary: "messages, bytes and processor time of control at three sizes",
  async run({ progress }): Promise<ExperimentResult> {
    const deployment = await Deployment.start(hsinchu);
    try {
      await deployment.roll();
      const figures: Figure[] = [];
      const costs: ControlCost[] = [];
      for (const targets of targetCounts) {
        await addTargetsUntil(deployment, targets);
        const cost = await measure(deployment);
        costs.push(cost);
        figures.push(
          ...createFigures(cost, targets, deployment.vmNames.length),
        );
        progress(`${targets} targets: measured`);
      }
      const slope = (costs.at(-1)!.processorMilliseconds -
        costs[0]!.processorMilliseconds) /
        (targetCounts.at(-1)! - targetCounts[0]);
      figures.push({
        name: "processor time of all VMs and of the stand-in for each target",
        value: slope,
        unit: "ms/s",
      });
      return { figures };
    } finally {
      await deployment.stop();
    }
  },
};

async function addTargetsUntil(
  deployment: Deployment,
  targets: number,
): Promise<void> {
  for (let index = deployment.targets.size; index < targets; index += 1) {
    await deployment.addTarget({
      name: `fixture-${index + 1}`,
      service: "fixture-stock",
      dataCentre: hsinchu.dataCentres[index % hsinchu.dataCentres.length]!.name,
    });
  }
  await deployment.until((status) =>
    status.targets.length === targets &&
    status.groups.every((each) => each.withoutOwner + each.moving === 0)
  );
  await deployment.untilStable();
}

async function measure(deployment: Deployment): Promise<ControlCost> {
  const before = await readCounters(deployment);
  const cpuBefore = process.cpuUsage();
  await new Promise((resolve) => setTimeout(resolve, measuredSeconds * 1000));
  const cpuUsed = process.cpuUsage(cpuBefore);
  const after = await readCounters(deployment);
  const rate = (name: string) =>
    ((after.get(name) ?? 0) - (before.get(name) ?? 0)) / measuredSeconds;
  return {
    processorMilliseconds: (cpuUsed.user + cpuUsed.system) / 1000 /
      measuredSeconds,
    renewals: rate('messages_total{kind="renew"}'),
    renewalBytes: rate('bytes_total{kind="renew"}'),
    announcements: rate('messages_total{kind="announce"}'),
    announcementBytes: rate('bytes_total{kind="announce"}'),
  };
}

/** Returns the sum of each control counter over all VMs. */
async function readCounters(
  deployment: Deployment,
): Promise<ReadonlyMap<string, number>> {
  const sums = new Map<string, number>();
  for (const vm of deployment.vmNames) {
    const { body } = await request(
      `http://${deployment.operatorsAddress(vm)}/metrics`,
    );
    for (const line of (await body.text()).split("\n")) {
      const [, name, value] = /^kingcupglade_control_(\S+) (\S+)$/.exec(line) ??
        [];
      if (name) sums.set(name, (sums.get(name) ?? 0) + Number(value));
    }
  }
  return sums;
}

function createFigures(
  cost: ControlCost,
  targets: number,
  vms: number,
): readonly Figure[] {
  const suffix = `at ${targets} targets`;
  return [
    figure(`renewals of a VM ${suffix}`, cost.renewals / vms, "1/s"),
    figure(`renewal bytes of a VM ${suffix}`, cost.renewalBytes / vms, "B/s"),
    figure(
      `announcement batches of a VM ${suffix}`,
      cost.announcements / vms,
      "1/s",
    ),
    figure(
      `announcement bytes for a target ${suffix}`,
      cost.announcementBytes / targets,
      "B/s",
    ),
    figure(
      `processor time of all VMs and stand-ins ${suffix}`,
      cost.processorMilliseconds,
      "ms/s",
    ),
  ];
}

function figure(name: string, value: number, unit: string): Figure {
  return { name, value, unit };
}
