import { eventsOf } from "@kingcupglade/checker";
import { LocalCapacityGate } from "@kingcupglade/routing";
import type { VmOptions } from "kingcupglade";
import type { Experiment, Figure } from "../experiment.ts";
import { outcomeShare } from "../load.ts";
import type { LoadResult } from "../load.ts";
import { startSharedService } from "../shared_service_run.ts";
import { tavares } from "../tavares.ts";

const serviceMilliseconds = 80;
const load = { perSecond: 450, seconds: 6 } as const;
const coldTargets = ["order-2", "order-7", "order-12", "order-16"];
const coldAnswers = 40;
const coldTurnMilliseconds = 3000;
const targetSlots = 4;
const microsecondsPerMillisecond = 1000;
const vmCount = Object.keys(tavares.vms).length;

interface LimitsRun {
  readonly result: LoadResult;
  /** Requests that began above the slots of their target. */
  readonly aboveSlots: number;
  /** Most requests that one target shed after it turned cold unannounced. */
  readonly mostShed: number;
  /** Messages about credits for each request. */
  readonly messages: number;
}

/** Compares shared credits with limits that each VM keeps for itself. */
export const creditsExperiment: Experiment = {
  summary: "shared credits against local limits, with unannounced cold turns",
  async run({ seed, progress }) {
    const shared = await measure(seed, () => ({ seed }));
    progress("shared credits measured");
    const whole = await measure(
      seed,
      () => ({ seed, capacity: new LocalCapacityGate() }),
    );
    progress("all slots for each VM measured");
    const part = await measure(
      seed,
      () => ({ seed, capacity: new LocalCapacityGate({ share: 1 / vmCount }) }),
    );
    return {
      figures: [
        {
          ...figure("begun above the slots", shared.aboveSlots, "requests"),
          baseline: whole.aboveSlots,
          target: { atMost: 0 },
        },
        {
          ...figure("most shed by a cold target", shared.mostShed, "requests"),
          baseline: whole.mostShed,
          target: { atMost: targetSlots },
        },
        ...runFigures("credits", shared),
        figure("credits: messages for each request", shared.messages, ""),
        ...runFigures("all slots each", whole),
        ...runFigures("a ninth each", part),
        figure("a ninth each: above the slots", part.aboveSlots, "requests"),
        figure("a ninth each: most shed", part.mostShed, "requests"),
      ],
    };
  },
};

async function measure(
  seed: number,
  policy: (vm: string) => VmOptions["policy"],
): Promise<LimitsRun> {
  const service = await startSharedService({ serviceMilliseconds, policy });
  const { deployment } = service;
  const metric = "kingcupglade_credit_messages_total";
  const messagesBefore = await service.metric(metric);
  const timer = setTimeout(() => {
    for (const name of coldTargets) {
      deployment.targets.get(name)!.turnCold({ answers: coldAnswers });
    }
  }, coldTurnMilliseconds);
  try {
    const result = await service.load({ ...load, seed });
    const messages = await service.metric(metric) - messagesBefore;
    const { events } = deployment.history;
    const started = eventsOf(events, "started");
    const shed = eventsOf(events, "refused");
    return {
      result,
      aboveSlots: started.filter((each) => each.inProgress > each.limit).length,
      mostShed: Math.max(
        ...coldTargets.map((name) =>
          shed.filter((each) => each.target === name).length
        ),
      ),
      messages: messages / result.sent,
    };
  } finally {
    clearTimeout(timer);
    await service.stop();
  }
}

function runFigures(name: string, run: LimitsRun): readonly Figure[] {
  const histogram = run.result.latency.get("answered");
  const percentile = (percent: number) =>
    (histogram?.getValueAtPercentile(percent) ?? 0) /
    microsecondsPerMillisecond;
  return [
    figure(`${name}: answered`, outcomeShare(run.result, "answered"), "of 1"),
    figure(`${name}: p50`, percentile(50), "ms"),
    figure(`${name}: p99`, percentile(99), "ms"),
  ];
}

function figure(name: string, value: number, unit: string): Figure {
  return { name, value, unit };
}
