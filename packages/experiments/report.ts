import { meetsTarget } from "./experiment.ts";
import type { ExperimentResult, Figure } from "./experiment.ts";

/** Columns of {@link figureRows}. */
export const figureColumns = ["figure", "value", "baseline", "target"] as const;

/** Formats the figures of a result as table rows. */
export function figureRows(
  result: ExperimentResult,
): readonly (readonly string[])[] {
  return result.figures.map((figure) => [
    figure.name,
    `${formatNumber(figure.value)} ${figure.unit}`,
    figure.baseline === undefined ? "" : formatNumber(figure.baseline),
    formatTarget(figure),
  ]);
}

/** Whether every figure meets its target. */
export function meetsTargets(result: ExperimentResult): boolean {
  return result.figures.every(meetsTarget);
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function formatTarget(figure: Figure): string {
  const { target } = figure;
  if (!target) return "";
  const bound = "atMost" in target
    ? `at most ${target.atMost}`
    : `at least ${target.atLeast}`;
  return `${bound}: ${meetsTarget(figure) ? "met" : "MISSED"}`;
}
