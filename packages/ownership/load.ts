import { hashSpaceSize } from "./key_hasher.ts";

/** Number of equal cells of the hash space in which requests are counted. */
export const loadCellCount = 1024;

const cellWidth = hashSpaceSize / loadCellCount;
const maximumHotPositions = 1024;
/** Maximum number of groups whose load is tracked. */
const maximumEstimatedGroups = 256;

/** Requests that one VM counted in one group since its last report. */
export interface GroupLoadReport {
  readonly group: string;
  /** Flat list of pairs: cell, number of requests. */
  readonly cells: readonly number[];
  /**
   * Flat list of pairs for the hottest positions: position, number of requests.
   */
  readonly hot: readonly number[];
}

/** The estimated load of a group, in requests per second. */
export interface GroupLoad {
  readonly total: number;
  /**
   * Returns the load of the positions from `start`, inclusive, to `end`,
   * exclusive.
   */
  between(start: number, end: number): number;
  /** The hottest positions, sorted by position. */
  readonly hot: readonly HotPosition[];
}

/** A position with many requests, and its requests per second. */
export interface HotPosition {
  readonly position: number;
  readonly rate: number;
}

/** Estimated loads by group ID. */
export type LoadView = ReadonlyMap<string, GroupLoad>;

/** Options of {@link LoadEstimator}. */
export interface LoadEstimatorOptions {
  /**
   * Time after which the weight of an observation has decayed to 37%.
   * @default 5000
   */
  readonly timeConstantMilliseconds?: number;
}

interface GroupCounts {
  readonly cells: Float64Array;
  readonly hot: Map<number, number>;
}

const defaultTimeConstantMilliseconds = 5000;

/** Aggregates the VMs' load reports with exponential decay. */
export class LoadEstimator {
  readonly #timeConstantMilliseconds: number;
  readonly #groups = new Map<string, GroupCounts>();
  #decayedAt: number;

  constructor(now: number, options: LoadEstimatorOptions = {}) {
    this.#timeConstantMilliseconds = options.timeConstantMilliseconds ??
      defaultTimeConstantMilliseconds;
    this.#decayedAt = now;
  }

  /** Adds the reports of one VM. */
  addReports(reports: readonly GroupLoadReport[]): void {
    for (const report of reports) {
      const counts = this.#countsOf(report.group);
      if (counts) addReport(counts, report);
    }
  }

  /** Decays the counts by the elapsed time and returns the estimated loads. */
  estimate(now: number): LoadView {
    const decayFactor = Math.exp(
      (this.#decayedAt - now) / this.#timeConstantMilliseconds,
    );
    this.#decayedAt = now;
    const loads = new Map<string, GroupLoad>();
    for (const [id, counts] of this.#groups) {
      decay(counts, decayFactor);
      const load = buildGroupLoad(
        counts,
        this.#timeConstantMilliseconds / 1000,
      );
      if (load.total < 0.01) this.#groups.delete(id);
      else loads.set(id, load);
    }
    return loads;
  }

  #countsOf(group: string): GroupCounts | undefined {
    const known = this.#groups.get(group);
    if (known || this.#groups.size >= maximumEstimatedGroups) return known;
    const counts = { cells: new Float64Array(loadCellCount), hot: new Map() };
    this.#groups.set(group, counts);
    return counts;
  }
}

/** Returns the cell of a position. */
export function cellOf(position: number): number {
  return Math.floor(position / cellWidth);
}

function addReport(counts: GroupCounts, report: GroupLoadReport): void {
  const { cells, hot } = report;
  for (let index = 0; index + 1 < cells.length; index += 2) {
    const cell = cells[index]!;
    if (cell < loadCellCount) counts.cells[cell]! += cells[index + 1]!;
  }
  for (let index = 0; index + 1 < hot.length; index += 2) {
    const position = hot[index]!;
    const before = counts.hot.get(position) ?? 0;
    if (before === 0 && counts.hot.size >= maximumHotPositions) continue;
    counts.hot.set(position, before + hot[index + 1]!);
  }
}

function decay(counts: GroupCounts, factor: number): void {
  counts.cells.forEach((each, index) => (counts.cells[index] = each * factor));
  for (const [position, count] of counts.hot) {
    if (count * factor < 0.5) counts.hot.delete(position);
    else counts.hot.set(position, count * factor);
  }
}

function buildGroupLoad(
  counts: GroupCounts,
  timeConstantSeconds: number,
): GroupLoad {
  // With exponential decay, requests at a constant rate add up to a count of
  // that rate times the time constant.
  const hot = [...counts.hot]
    .map(([position, count]) => ({
      position,
      rate: count / timeConstantSeconds,
    }))
    .sort((left, right) => left.position - right.position);
  const baseline = counts.cells.map((each) => each / timeConstantSeconds);
  for (const { position, rate } of hot) {
    const cell = cellOf(position);
    baseline[cell] = Math.max(0, baseline[cell]! - rate);
  }
  const baselineSums = prefixSums(baseline);
  const hotSums = prefixSums(hot.map((each) => each.rate));
  const baselineUpTo = (position: number) => {
    const cell = cellOf(position);
    const cellFraction = position / cellWidth - cell;
    return baselineSums[cell]! + cellFraction * (baseline[cell] ?? 0);
  };
  const hotUpTo = (position: number) => hotSums[countHotBelow(hot, position)]!;
  return {
    total: baselineSums.at(-1)! + hotSums.at(-1)!,
    between: (start, end) =>
      baselineUpTo(end) - baselineUpTo(start) + hotUpTo(end) - hotUpTo(start),
    hot,
  };
}

function prefixSums(values: ArrayLike<number>): Float64Array {
  const sums = new Float64Array(values.length + 1);
  for (let index = 0; index < values.length; index += 1) {
    sums[index + 1] = sums[index]! + values[index]!;
  }
  return sums;
}

function countHotBelow(hot: readonly HotPosition[], position: number): number {
  let low = 0;
  let high = hot.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (hot[middle]!.position < position) low = middle + 1;
    else high = middle;
  }
  return low;
}
