import {
  findRange,
  hashSpaceSize,
  LoadEstimator,
  RequestCounter,
} from "@kingcupglade/ownership";
import { RandomSource } from "../random_source.ts";
import type { Experiment, ExperimentResult, Figure } from "../experiment.ts";
import { linePlot } from "../plot.ts";
import { PlanningSimulation, targetName } from "../planning_simulation.ts";

const sizes = [
  { targets: 12, initialRanges: 96, requestsPerSecond: 20_000 },
  { targets: 120, initialRanges: 960, requestsPerSecond: 100_000 },
  { targets: 930, initialRanges: 4096, requestsPerSecond: 400_000 },
] as const;

const hotKeyCount = 84;
const hotKeysShare = 0.3;
/** Maximum load of one hot key, as a share of a target's mean load. */
const maximumHotKeyLoad = 0.5;
/** Virtual time in which the initial placement is balanced. */
const balancingSeconds = 60;
const secondsPerShift = 60;
const shifts = 3;
const roundsPerSecond = 20;
const imbalanceTarget = 1.3;
/** Time after a shift in which ranges of hot keys may still be moving. */
const settlingSeconds = 30;

/** Measures imbalance, churn and run time of the planner in virtual time. */
export const plannerExperiment: Experiment = {
  summary: "imbalance, churn and plan time at 12, 120 and 930 targets",
  async run({ seed, progress }): Promise<ExperimentResult> {
    const figures: Figure[] = [];
    const series = [];
    for (const size of sizes) {
      const trial = new PlannerTrial(size, seed);
      figures.push(...trial.membershipFigures(), ...trial.hotKeyFigures());
      series.push({
        name: `${size.targets} targets`,
        points: trial.points,
      });
      progress(`${size.targets} targets: measured`);
      await Promise.resolve();
    }
    return {
      figures,
      plots: {
        "planner-imbalance-churn.svg": linePlot({
          title: "Imbalance against churn while 84 hot keys shift every minute",
          x: "share of the hash space moved",
          y: "largest load over mean",
          series,
        }),
      },
    };
  },
};

class PlannerTrial {
  readonly points: { readonly x: number; readonly y: number }[] = [];
  readonly #size: typeof sizes[number];
  readonly #random: () => number;
  readonly #simulation: PlanningSimulation;

  constructor(size: typeof sizes[number], seed: number) {
    const source = new RandomSource(seed);
    this.#size = size;
    this.#random = () => source.number();
    this.#simulation = new PlanningSimulation(size);
    this.#simulation.runUntilStable();
    this.#run(balancingSeconds);
  }

  /** Measures churn when one target joins and one leaves. */
  membershipFigures(): readonly Figure[] {
    const { targets } = this.#size;
    const simulation = this.#simulation;
    simulation.putTarget(targets);
    simulation.movedShare = 0;
    this.#run(30);
    const joinedShare = simulation.movedShare;
    simulation.putTarget(targets, "leaving");
    simulation.movedShare = 0;
    this.#run(30);
    const minimumShare = 1 / (targets + 1);
    return [
      {
        name: `share moved when one joins ${targets} targets`,
        value: joinedShare,
        unit: "of keys",
        baseline: moduloMovedShare(targets),
        target: { atMost: 1.5 * minimumShare },
      },
      {
        name: `share moved when one of ${targets + 1} targets leaves`,
        value: simulation.movedShare,
        unit: "of keys",
        baseline: moduloMovedShare(targets),
        target: { atMost: 2 * minimumShare },
      },
      {
        name: `least possible for one of ${targets + 1} targets`,
        value: minimumShare,
        unit: "of keys",
      },
    ];
  }

  /** Measures imbalance and churn while the hot keys change every minute. */
  hotKeyFigures(): readonly Figure[] {
    const { targets } = this.#size;
    const simulation = this.#simulation;
    const estimates = new LoadEstimator(simulation.now);
    const initialRanges = simulation.group.ranges;
    const settled: number[] = [];
    const unplanned: number[] = [];
    simulation.movedShare = 0;
    simulation.planMilliseconds.length = 0;
    for (let shift = 0; shift < shifts; shift += 1) {
      const hot = this.#drawHotKeys();
      for (let second = 0; second < secondsPerShift; second += 1) {
        estimates.addReports(this.#countRequests(hot));
        simulation.loads = estimates.estimate(simulation.now);
        this.#runSecond();
        const imbalance = computeImbalance(
          simulation.group.ranges,
          hot,
          targets,
        );
        if (second >= settlingSeconds) settled.push(imbalance);
        this.points.push({ x: simulation.movedShare, y: imbalance });
      }
      unplanned.push(computeImbalance(initialRanges, hot, targets));
    }
    return this.#createHotKeyFigures({ settled, unplanned });
  }

  #createHotKeyFigures(measured: {
    readonly settled: readonly number[];
    readonly unplanned: readonly number[];
  }): readonly Figure[] {
    const { targets } = this.#size;
    const { planMilliseconds, group, movedShare } = this.#simulation;
    const times = planMilliseconds.toSorted((left, right) => left - right);
    const suffix = `at ${targets} targets`;
    return [
      {
        name: `imbalance ${suffix}, from ${settlingSeconds} s after a shift`,
        value: Math.max(...measured.settled),
        unit: "max/mean",
        baseline: Math.max(...measured.unplanned),
        target: { atMost: imbalanceTarget },
      },
      {
        name: `share moved per shift of ${hotKeyCount} hot keys ${suffix}`,
        value: movedShare / shifts,
        unit: "of keys",
        baseline: 1 - 1 / targets,
      },
      {
        name: `ranges ${suffix}`,
        value: group.ranges.length,
        unit: "ranges",
      },
      {
        name: `mean plan time ${suffix}`,
        value: times.reduce((sum, each) => sum + each, 0) / times.length,
        unit: "ms",
        target: { atMost: 5 },
      },
      {
        name: `longest plan time ${suffix}`,
        value: times.at(-1)!,
        unit: "ms",
      },
    ];
  }

  #run(seconds: number): void {
    for (let second = 0; second < seconds; second += 1) this.#runSecond();
  }

  #runSecond(): void {
    this.#simulation.runRound(true);
    for (let round = 1; round < roundsPerSecond; round += 1) {
      this.#simulation.runRound();
    }
  }

  #drawHotKeys(): ReadonlyMap<number, number> {
    const share = Math.min(
      hotKeysShare / hotKeyCount,
      maximumHotKeyLoad / this.#size.targets,
    );
    return new Map(
      Array.from({ length: hotKeyCount }, () => [
        Math.floor(this.#random() * hashSpaceSize),
        share,
      ]),
    );
  }

  #countRequests(hot: ReadonlyMap<number, number>) {
    const counter = new RequestCounter();
    const positions = [...hot.keys()];
    const hotShare = [...hot.values()].reduce((sum, each) => sum + each, 0);
    const { requestsPerSecond } = this.#size;
    for (let request = 0; request < requestsPerSecond; request += 1) {
      const isHot = this.#random() < hotShare;
      counter.add(
        this.#simulation.group.id,
        isHot
          ? positions[Math.floor(this.#random() * positions.length)]!
          : Math.floor(this.#random() * hashSpaceSize),
      );
    }
    return counter.takeReports();
  }
}

/** Returns the share of keys that change owner under placement by modulo. */
function moduloMovedShare(targets: number): number {
  return targets / (targets + 1);
}

function computeImbalance(
  ranges: readonly {
    readonly start: number;
    readonly end: number;
    readonly owner: string | null;
  }[],
  hot: ReadonlyMap<number, number>,
  targets: number,
): number {
  const uniformShare = 1 -
    [...hot.values()].reduce((sum, each) => sum + each, 0);
  const loads = new Map<string, number>();
  const add = (owner: string | null, load: number) =>
    loads.set(owner ?? "", (loads.get(owner ?? "") ?? 0) + load);
  for (const { start, end, owner } of ranges) {
    add(owner, (end - start) / hashSpaceSize * uniformShare);
  }
  for (const [position, share] of hot) {
    add(ranges[findRange(ranges, position)]!.owner, share);
  }
  // This target joined and left before, and is not one of those compared.
  loads.delete(targetName(targets));
  return Math.max(...loads.values()) * targets;
}
