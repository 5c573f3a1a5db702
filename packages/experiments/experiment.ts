/** Context in which an experiment runs. */
export interface ExperimentContext {
  /** Seed of every random choice. */
  readonly seed: number;
  /** Reports the progress of the run. */
  readonly progress: (line: string) => void;
}

/** A figure that an experiment measured. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** The same figure of the baseline, measured in the same run. */
  readonly baseline?: number;
  /** Target value; the experiment fails if the figure misses it. */
  readonly target?: { readonly atMost: number } | { readonly atLeast: number };
}

/** Result of an experiment. */
export interface ExperimentResult {
  readonly figures: readonly Figure[];
  /** SVG plots by file name. */
  readonly plots?: Readonly<Record<string, string>>;
}

/** A measurement that ends after a bounded time. */
export interface Experiment {
  readonly summary: string;
  run(context: ExperimentContext): Promise<ExperimentResult>;
}

/** Whether a figure meets its target; true for figures without a target. */
export function meetsTarget(figure: Figure): boolean {
  const { target, value } = figure;
  if (!target) return true;
  return "atMost" in target ? value <= target.atMost : value >= target.atLeast;
}
