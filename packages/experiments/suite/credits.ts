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
const coldRequests = 40;
const coldAtMilliseconds = 3000;
const targetSlots = 4;
const microsecondsPerMillisecond = 1000;
const vmCount = Object.keys(tavares.vms).length;

interface LimitsRun {
  readonly result: LoadResult;
  /** Requests that started while their target was over its slots. */
  readonly aboveSlots: number;
  /** Maximum of requests shed by a target that turned cold unannounced. */
  readonly maximumShed: number;
  /** Credit messages per request. */
  readonly messages: number;
}

/** Compares shared credits with local limits per VM. */
export const creditsExperiment: Experiment = {
  summary: "shared credits or local limits while targets turn cold unannounced",
  async run({ seed, progress }) {
    const shared = await measure(seed, () => ({ seed }));
    progress("shared credits measured");
    const allSlotsPerVm = await measure(
      seed,
      () => ({ seed, capacity: new LocalCapacityGate() }),
    );
    progress("local limits of all slots per VM measured");
    const partOfSlotsPerVm = await measure(
      seed,
      () => ({ seed, capacity: new LocalCapacityGate({ share: 1 / vmCount }) }),
    );
    return {
      figures: [
        {
          ...figure("begun above the slots", shared.aboveSlots, "requests"),
          baseline: allSlotsPerVm.aboveSlots,
          target: { atMost: 0 },
        },
        {
          ...figure(
            "most shed by a cold target",
            shared.maximumShed,
            "requests",
          ),
          baseline: allSlotsPerVm.maximumShed,
          target: { atMost: targetSlots },
        },
        ...runFigures("credits", shared),
        figure("credits: messages for each request", shared.messages, ""),
        ...runFigures("all slots each", allSlotsPerVm),
        ...runFigures("a ninth each", partOfSlotsPerVm),
        figure(
          "a ninth each: above the slots",
          partOfSlotsPerVm.aboveSlots,
          "requests",
        ),
        figure(
          "a ninth each: most shed",
          partOfSlotsPerVm.maximumShed,
          "requests",
        ),
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
  const messagesBefore = await service.sumMetric(metric);
  const timer = setTimeout(() => {
    for (const name of coldTargets) {
      deployment.targets.get(name)!.turnColdUnannounced({
        requests: coldRequests,
      });
    }
  }, coldAtMilliseconds);
  try {
    const result = await service.load({ ...load, seed });
    const messages = await service.sumMetric(metric) - messagesBefore;
    const { events } = deployment.history;
    const started = eventsOf(events, "started");
    const shed = eventsOf(events, "refused");
    return {
      result,
      aboveSlots: started.filter((each) => each.inProgress > each.limit).length,
      maximumShed: Math.max(
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
