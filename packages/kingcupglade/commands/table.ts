/** Formats rows as text columns with a header. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map((row) => row[column]?.length ?? 0))
  );
  return allRows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  ).join("\n");
}
