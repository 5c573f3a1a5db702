import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Experiment, Figure } from "../experiment.ts";
import { outcomeShare } from "../load.ts";
import type { LoadResult } from "../load.ts";
import { Path, SpeedBench } from "../speed_bench.ts";

const warmUpSeconds = 3;
const steadyPerSecond = 800;
const steadyRounds = 9;
const roundSeconds = 20;
const rates = [1000, 2000, 4000, 8000];
const rateSeconds = 3;
const microsecondsPerMillisecond = 1000;
const secondsPerMinute = 60;
const bytesPerMegabyte = 1 << 20;

/** Measures heap growth at a constant rate and tail latency at rising rates. */
export const steadyLoadExperiment: Experiment = {
  summary:
    "heap of a gateway over minutes, and its tail latency at rising rates",
  async run({ seed, progress }) {
    const bench = await SpeedBench.start();
    try {
      await bench.saturate(Path.bare, warmUpSeconds);
      await bench.saturate(Path.gateway, warmUpSeconds);
      const rateFigures = [];
      for (const perSecond of rates) {
        const options = { perSecond, seconds: rateSeconds, seed };
        const bare = await bench.runAtRate(Path.bare, options);
        rateFigures.push(...createRateFigures({
          perSecond,
          bare,
          gateway: await bench.runAtRate(Path.gateway, options),
        }));
        progress(`${perSecond} requests/s: measured`);
      }
      const collectGarbage = exposeGarbageCollector();
      const heaps = [usedMegabytes(collectGarbage)];
      for (let round = 0; round < steadyRounds; round += 1) {
        await bench.runAtRate(Path.gateway, {
          perSecond: steadyPerSecond,
          seconds: roundSeconds,
          seed: seed + round,
        });
        heaps.push(usedMegabytes(collectGarbage));
        progress(`round ${round + 1} of ${steadyRounds}: ${heaps.at(-1)} MB`);
      }
      return { figures: [...rateFigures, ...heapFigures(heaps)] };
    } finally {
      await bench.stop();
    }
  },
};

function createRateFigures(measured: {
  readonly perSecond: number;
  readonly bare: LoadResult;
  readonly gateway: LoadResult;
}): readonly Figure[] {
  const { perSecond, bare, gateway } = measured;
  return [
    {
      name: `p99 at ${perSecond} requests/s`,
      value: percentile99(gateway),
      unit: "ms",
      baseline: percentile99(bare),
    },
    {
      name: `answered at ${perSecond} requests/s`,
      value: outcomeShare(gateway, "answered"),
      unit: "",
      baseline: outcomeShare(bare, "answered"),
    },
    {
      name: `sent of ${perSecond} requests/s`,
      value: gateway.sent / gateway.seconds,
      unit: "requests/s",
      baseline: bare.sent / bare.seconds,
    },
  ];
}

function heapFigures(heaps: readonly number[]): readonly Figure[] {
  const minutes = steadyRounds * roundSeconds / secondsPerMinute;
  return [
    {
      name: `heap before ${steadyPerSecond} requests/s`,
      value: heaps[0]!,
      unit: "MB",
    },
    {
      name: `heap after ${minutes} minutes`,
      value: heaps.at(-1)!,
      unit: "MB",
    },
    {
      name: "growth of the heap, by least squares",
      value: leastSquaresSlope(heaps) * (secondsPerMinute / roundSeconds),
      unit: "MB/minute",
    },
  ];
}

/** Returns the least-squares growth from one value to the next. */
function leastSquaresSlope(values: readonly number[]): number {
  const middle = (values.length - 1) / 2;
  let [products, squares] = [0, 0];
  for (const [index, value] of values.entries()) {
    products += (index - middle) * value;
    squares += (index - middle) ** 2;
  }
  return products / squares;
}

function percentile99(result: LoadResult): number {
  const histogram = result.latency.get("answered");
  return (histogram?.getValueAtPercentile(99) ?? Infinity) /
    microsecondsPerMillisecond;
}

function usedMegabytes(collectGarbage: () => void): number {
  collectGarbage();
  return Number((process.memoryUsage().heapUsed / bytesPerMegabyte).toFixed(3));
}

function exposeGarbageCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}
