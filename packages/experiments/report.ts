import { meetsTarget } from "./experiment.ts";
import type { ExperimentResult, Figure } from "./experiment.ts";

/** Writes figures as a table for people. */
export function formatFigures(result: ExperimentResult): string {
  const rows = result.figures.map((figure) => [
    figure.name,
    `${formatNumber(figure.value)} ${figure.unit}`,
    figure.baseline === undefined ? "" : formatNumber(figure.baseline),
    formatTarget(figure),
  ]);
  const table = [["figure", "value", "baseline", "target"], ...rows];
  const widths = [0, 1, 2].map((column) =>
    Math.max(...table.map((row) => row[column]!.length))
  );
  return table.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n");
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
