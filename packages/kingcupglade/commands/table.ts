/** Lays out rows of text in columns under a head. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [head, ...rows];
  const widths = head.map((_, column) =>
    Math.max(...all.map((row) => row[column]?.length ?? 0))
  );
  return all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  ).join("\n");
}
