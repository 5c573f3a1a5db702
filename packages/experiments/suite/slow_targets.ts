import type { Candidate } from "@kingcupglade/routing";
import type { VmOptions } from "kingcupglade";
import type { Experiment, Figure } from "../experiment.ts";
import { outcomeShare } from "../load.ts";
import type { LoadResult } from "../load.ts";
import { linePlot } from "../plot.ts";
import type { PlotSeries } from "../plot.ts";
import { startSharedService } from "../shared_service_run.ts";

const serviceMilliseconds = 20;
const slowFactor = 10;
const slowTargets = ["order-3", "order-8"];
const load = { perSecond: 400, seconds: 10 } as const;
const microsecondsPerMillisecond = 1000;
const lowestPlottedPercentile = 50;
const highestPlottedPercentile = 99.9;
const plottedSteps = 100;

interface PolicyRun {
  readonly fast: LoadResult;
  readonly slow: LoadResult;
  /** Hedges per request while targets are slow. */
  readonly hedgeShare: number;
}

/** Compares target selection policies while 2 of 16 targets are slow. */
export const slowTargetsExperiment: Experiment = {
  summary: "p99 while 2 of 16 targets are 10 times slower",
  async run({ seed, progress }) {
    const ownPolicy = await measure({
      seed,
      policy: (vm) => ({ seed: seed + vm.length }),
    });
    progress("own policy measured");
    const roundRobin = await measure({
      seed,
      policy: () => ({ choice: createRoundRobinChoice(), hedgeShare: 0 }),
    });
    progress("round robin measured");
    const leastInFlight = await measure({
      seed,
      policy: () => ({ choice: chooseLeastLoaded, hedgeShare: 0 }),
    });
    const ratio = p99(ownPolicy.slow) / p99(ownPolicy.fast);
    return {
      figures: [
        figure("p99 without slow targets", p99(ownPolicy.fast), "ms"),
        figure("p99 with slow targets", p99(ownPolicy.slow), "ms"),
        {
          ...figure("p99 with over without slow targets", ratio, "times"),
          baseline: p99(roundRobin.slow) / p99(roundRobin.fast),
          target: { atMost: 1.5 },
        },
        {
          ...figure("hedges for each request", ownPolicy.hedgeShare, ""),
          target: { atMost: 0.05 },
        },
        figure("answered", outcomeShare(ownPolicy.slow, "answered"), "of 1"),
        figure("p99 round robin, no slow", p99(roundRobin.fast), "ms"),
        figure("p99 round robin, slow", p99(roundRobin.slow), "ms"),
        figure("p99 least in flight, no slow", p99(leastInFlight.fast), "ms"),
        figure("p99 least in flight, slow", p99(leastInFlight.slow), "ms"),
      ],
      plots: {
        "slow-targets.svg": linePlot({
          title: "Latency while 2 of 16 targets are 10 times slower",
          x: "percentile",
          y: "ms",
          series: [
            tailSeries("own policy", ownPolicy.slow),
            tailSeries("round robin", roundRobin.slow),
            tailSeries("least in flight", leastInFlight.slow),
            tailSeries("own, none slow", ownPolicy.fast),
          ],
        }),
      },
    };
  },
};

async function measure(options: {
  readonly seed: number;
  readonly policy: (vm: string) => VmOptions["policy"];
}): Promise<PolicyRun> {
  const { seed, policy } = options;
  const service = await startSharedService({ serviceMilliseconds, policy });
  try {
    const fast = await service.load({ ...load, seed });
    for (const name of slowTargets) {
      service.deployment.targets.get(name)!.serviceMilliseconds =
        serviceMilliseconds * slowFactor;
    }
    const hedgesBefore = await service.sumMetric("kingcupglade_hedges_total");
    const slow = await service.load({ ...load, seed: seed + 1 });
    const hedges = await service.sumMetric("kingcupglade_hedges_total");
    return { fast, slow, hedgeShare: (hedges - hedgesBefore) / slow.sent };
  } finally {
    await service.stop();
  }
}

function createRoundRobinChoice() {
  let next = 0;
  return (candidates: readonly Candidate[]) =>
    candidates[next++ % Math.max(1, candidates.length)];
}

function chooseLeastLoaded(
  candidates: readonly Candidate[],
): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (least, each) => !least || each.load < least.load ? each : least,
    undefined,
  );
}

function tailSeries(name: string, result: LoadResult): PlotSeries {
  const points = Array.from({ length: plottedSteps + 1 }, (_, index) => {
    const x = lowestPlottedPercentile +
      (highestPlottedPercentile - lowestPlottedPercentile) * index /
        plottedSteps;
    return { x, y: percentile(result, x) };
  });
  return { name, points };
}

function p99(result: LoadResult): number {
  return percentile(result, 99);
}

function percentile(result: LoadResult, at: number): number {
  const histogram = result.latency.get("answered");
  return (histogram?.getValueAtPercentile(at) ?? Infinity) /
    microsecondsPerMillisecond;
}

function figure(name: string, value: number, unit: string): Figure {
  return { name, value, unit };
}
