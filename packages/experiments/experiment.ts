/** What an experiment is given. */
export interface ExperimentContext {
  /** Seed of every random choice. */
  readonly seed: number;
  /** Shows how far the run has got. */
  readonly progress: (line: string) => void;
}

/** A figure that an experiment measured. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** The same figure of the baseline, measured in the same run. */
  readonly baseline?: number;
  /** The stated target; missing it makes the experiment fail. */
  readonly target?: { readonly atMost: number } | { readonly atLeast: number };
}

/** What an experiment measured. */
export interface ExperimentResult {
  readonly figures: readonly Figure[];
  /** SVG pictures by file name. */
  readonly plots?: Readonly<Record<string, string>>;
}

/** A named measurement, bounded in time. */
export interface Experiment {
  readonly summary: string;
  run(context: ExperimentContext): Promise<ExperimentResult>;
}

/** Whether a figure meets its target; figures without one always do. */
export function meetsTarget(figure: Figure): boolean {
  const { target, value } = figure;
  if (!target) return true;
  return "atMost" in target ? value <= target.atMost : value >= target.atLeast;
}
