import { readFile } from "node:fs/promises";

/**
 * Reads the table under a heading of a Markdown file; maps the first column to
 * the last one.
 */
export async function readReferenceTable(
  pagePath: string,
  heading: string,
): Promise<ReadonlyMap<string, string>> {
  const text = await readFile(pagePath, "utf8");
  const body = text.split(`\n## ${heading}\n`)[1]?.split("\n## ")[0] ?? "";
  const rows = body.split("\n").filter((line) => line.startsWith("| `"));
  return new Map(rows.map((line) => {
    const cells = line.split("|").map((cell) => cell.trim());
    return [cells[1]!.replaceAll("`", ""), cells.at(-2)!];
  }));
}
