import { GCProfiler } from "node:v8";
import type { Experiment, Figure } from "../experiment.ts";
import type { LoadResult } from "../load.ts";
import { Path, SpeedBench } from "../speed_bench.ts";
import type { Saturation } from "../speed_bench.ts";

const warmUpSeconds = 1;
const warmUpRounds = 3;
const saturationSeconds = 0.5;
const saturationRounds = 25;
const fixedRateSeconds = 0.5;
const fixedRateRounds = 41;
const allocationSeconds = 2;
const microsecondsPerMillisecond = 1000;
const bytesPerKilobyte = 1000;

interface Saturations {
  readonly direct: Saturation;
  readonly bare: Saturation;
  readonly gateway: Saturation;
}

interface FixedRateRound {
  readonly bare: LoadResult;
  readonly gateway: LoadResult;
}

/**
 * Compares a gateway with a minimal proxy on the same libraries. Short
 * measurements of both alternate, and the figures are medians of the
 * comparisons within a round, so that other load on the machine affects both.
 */
export const throughputExperiment: Experiment = {
  summary: "one gateway compared with a minimal proxy on node:http and undici",
  async run({ seed, progress }) {
    const bench = await SpeedBench.start();
    try {
      for (let round = 0; round < warmUpRounds; round += 1) {
        await saturateAll(bench, { round, seconds: warmUpSeconds });
      }
      const saturated: Saturations[] = [];
      for (let round = 0; round < saturationRounds; round += 1) {
        saturated.push(
          await saturateAll(bench, { round, seconds: saturationSeconds }),
        );
      }
      progress("saturation measured");
      const perSecond = median(saturated.map(({ gateway }) =>
        gateway.perSecond
      )) / 2;
      const fixedRate: FixedRateRound[] = [];
      for (let round = 0; round < fixedRateRounds; round += 1) {
        fixedRate.push(await runBothAtRate(bench, { round, perSecond, seed }));
      }
      progress("half load measured");
      return {
        figures: [
          ...saturationFigures(saturated),
          ...fixedRateFigures(fixedRate),
          ...await allocationFigures(bench),
        ],
      };
    } finally {
      await bench.stop();
    }
  },
};

async function saturateAll(
  bench: SpeedBench,
  options: { readonly round: number; readonly seconds: number },
): Promise<Saturations> {
  const measured: Partial<Record<Path, Saturation>> = {};
  for (
    const path of alternateOrder(
      [Path.direct, Path.bare, Path.gateway],
      options,
    )
  ) {
    measured[path] = await bench.saturate(path, options.seconds);
  }
  return measured as Record<Path, Saturation>;
}

async function runBothAtRate(
  bench: SpeedBench,
  options: {
    readonly round: number;
    readonly perSecond: number;
    readonly seed: number;
  },
): Promise<FixedRateRound> {
  const measured: Partial<Record<Path, LoadResult>> = {};
  for (const path of alternateOrder([Path.bare, Path.gateway], options)) {
    measured[path] = await bench.runAtRate(path, {
      perSecond: options.perSecond,
      seconds: fixedRateSeconds,
      seed: options.seed + options.round,
    });
  }
  return measured as Record<Path, LoadResult>;
}

function alternateOrder<Item>(
  items: readonly Item[],
  { round }: { readonly round: number },
): readonly Item[] {
  return round % 2 === 0 ? items : [...items].reverse();
}

function saturationFigures(
  rounds: readonly Saturations[],
): readonly Figure[] {
  const medianOf = (value: (round: Saturations) => number) =>
    median(rounds.map(value));
  return [
    {
      name: "throughput over the bare proxy",
      value: medianOf(({ gateway, bare }) =>
        gateway.perSecond / bare.perSecond
      ),
      unit: "",
      target: { atLeast: 0.7 },
    },
    {
      name: "throughput",
      value: medianOf(({ gateway }) => gateway.perSecond),
      unit: "requests/s",
      baseline: medianOf(({ bare }) => bare.perSecond),
    },
    {
      name: "throughput straight at the target",
      value: medianOf(({ direct }) => direct.perSecond),
      unit: "requests/s",
    },
    {
      name: "processor time of the process for each request",
      value: medianOf(({ gateway }) => gateway.cpuMicroseconds),
      unit: "us",
      baseline: medianOf(({ bare }) => bare.cpuMicroseconds),
    },
    {
      name: "of it, of the proxy alone",
      value: medianOf(({ gateway, direct }) =>
        gateway.cpuMicroseconds - direct.cpuMicroseconds
      ),
      unit: "us",
      baseline: medianOf(({ bare, direct }) =>
        bare.cpuMicroseconds - direct.cpuMicroseconds
      ),
    },
  ];
}

function fixedRateFigures(
  rounds: readonly FixedRateRound[],
): readonly Figure[] {
  const addedLatency = (percent: number) =>
    median(
      rounds.map(({ gateway, bare }) =>
        percentile(gateway, percent) - percentile(bare, percent)
      ),
    );
  const medianLatency = (path: "gateway" | "bare", percent: number) =>
    median(rounds.map((round) => percentile(round[path], percent)));
  return [
    {
      name: "added p50 at half load",
      value: addedLatency(50),
      unit: "ms",
      target: { atMost: 0.3 },
    },
    {
      name: "added p99 at half load",
      value: addedLatency(99),
      unit: "ms",
      target: { atMost: 2 },
    },
    {
      name: "p50 at half load",
      value: medianLatency("gateway", 50),
      unit: "ms",
      baseline: medianLatency("bare", 50),
    },
    {
      name: "p99 at half load",
      value: medianLatency("gateway", 99),
      unit: "ms",
      baseline: medianLatency("bare", 99),
    },
    {
      name: "p99 at half load, all rounds together",
      value: pooledPercentile(rounds.map(({ gateway }) => gateway), 99),
      unit: "ms",
      baseline: pooledPercentile(rounds.map(({ bare }) => bare), 99),
    },
  ];
}

async function allocationFigures(
  bench: SpeedBench,
): Promise<readonly Figure[]> {
  const direct = await allocatedKilobytes(bench, Path.direct);
  const bare = await allocatedKilobytes(bench, Path.bare);
  const gateway = await allocatedKilobytes(bench, Path.gateway);
  return [{
    name: "memory allocated by the proxy for each request",
    value: gateway - direct,
    unit: "kB",
    baseline: bare - direct,
  }];
}

/** Returns the kilobytes of heap that the process allocates per request. */
async function allocatedKilobytes(
  bench: SpeedBench,
  path: Path,
): Promise<number> {
  const profiler = new GCProfiler();
  profiler.start();
  const { perSecond } = await bench.saturate(path, allocationSeconds);
  const { statistics } = profiler.stop();
  const heapUses = statistics.map(({ beforeGC, afterGC }) => ({
    before: beforeGC.heapStatistics.usedHeapSize,
    after: afterGC.heapStatistics.usedHeapSize,
  }));
  let bytes = 0;
  for (let index = 1; index < heapUses.length; index += 1) {
    bytes += heapUses[index]!.before - heapUses[index - 1]!.after;
  }
  const share = heapUses.length / (heapUses.length - 1);
  return bytes * share / (perSecond * allocationSeconds) / bytesPerKilobyte;
}

function percentile(result: LoadResult, percent: number): number {
  const histogram = result.latency.get("answered");
  return (histogram?.getValueAtPercentile(percent) ?? Infinity) /
    microsecondsPerMillisecond;
}

function pooledPercentile(
  results: readonly LoadResult[],
  percent: number,
): number {
  const [first, ...others] = results.flatMap(({ latency }) =>
    latency.get("answered") ?? []
  );
  if (!first) return Infinity;
  for (const each of others) first.add(each);
  return first.getValueAtPercentile(percent) / microsecondsPerMillisecond;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
