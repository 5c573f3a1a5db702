import { existsSync } from "node:fs";
import { readdir, readFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { readReferenceTable } from "@kingcupglade/fakes";
import { Outcome, Reason } from "@kingcupglade/routing";
import { createMetrics } from "@kingcupglade/telemetry";
import { KeyFault } from "@kingcupglade/workspaces";
import { describe, expect, it } from "vitest";
import { commandNames, findCommand } from "./command_line.ts";
import { fleetSchemas } from "./settings/fleet_schema.ts";
import { listKnownKeys, settingsSchema } from "./settings/schema.ts";

/** Reasons that callers never receive, as they have disconnected. */
const undocumentedReasons: readonly Reason[] = [Reason.cancelled];

/** Reference in a message to a heading of a page. */
const headingReference = /see "([^"]+)" in (docs\/[\w/]+\.md)/g;

async function readPages(
  folder: string,
): Promise<ReadonlyMap<string, string>> {
  const files = await readdir(folder, { recursive: true });
  const pages = files.filter((file) => file.endsWith(".md"))
    .map((file) => `${folder}/${file}`);
  return new Map(
    await Promise.all(
      pages.map(async (page): Promise<[string, string]> => [
        page,
        await readFile(page, "utf8"),
      ]),
    ),
  );
}

function findNames(
  pages: ReadonlyMap<string, string>,
  pattern: RegExp,
): readonly string[] {
  return [...pages].flatMap(([page, text]) =>
    [...text.matchAll(pattern)].map((match) => `${page}: ${match[1]}`)
  );
}

/** Returns the names in the pages that do not exist in the code. */
function findUnknown(
  named: readonly string[],
  known: readonly string[],
): readonly string[] {
  return named.filter((each) => !known.includes(each.split(": ")[1]!));
}

describe("the documentation pages", () => {
  it("mention only existing metrics", async () => {
    const metrics = createMetrics().registry.getMetricsAsArray()
      .map((each) => each.name);
    const pages = await readPages("docs");
    const named = findNames(pages, /\b(kingcupglade_[a-z_]+)/g);
    expect(named).not.toEqual([]);
    expect(findUnknown(named, metrics)).toEqual([]);
  });

  it("mention only existing events, outcomes and reasons", async () => {
    const events = await readReferenceTable(
      "docs/operating/events.md",
      "Log events",
    );
    const known: readonly string[] = [
      ...events.keys(),
      ...Object.values(Outcome),
      ...Object.values(KeyFault),
      ...Object.values(Reason),
      ...["idempotency-key", "retry-after"],
    ];
    const pages = new Map([
      ...await readPages("docs/operating"),
      ["docs/OPERATING.md", await readFile("docs/OPERATING.md", "utf8")],
    ]);
    const named = findNames(pages, /`([a-z]+(?:-[a-z]+)+)`/g);
    expect(named).not.toEqual([]);
    expect(findUnknown(named, known)).toEqual([]);
  });

  it("mention only existing settings", async () => {
    const sections = listKnownKeys(settingsSchema, "").filter((each) =>
      each !== "peers"
    );
    const schemas = [settingsSchema, ...Object.values(fleetSchemas)];
    const known = schemas.flatMap((schema) =>
      sections.flatMap((section) =>
        listKnownKeys(schema, section).map((key) => `${section}.${key}`)
      )
    );
    const pattern = new RegExp(
      `\`((?:${sections.join("|")})\\.[a-zA-Z]+)\``,
      "g",
    );
    const named = findNames(await readPages("docs"), pattern);
    expect(named).not.toEqual([]);
    expect(findUnknown(named, known)).toEqual([]);
  });

  it("mention only existing commands and options", async () => {
    const pages = new Map([
      ...await readPages("docs"),
      ["README.md", await readFile("README.md", "utf8")],
    ]);
    const lines = findNames(pages, /^ *kingcupglade ([a-z].*)$/gm);
    expect(lines).not.toEqual([]);
    for (const line of lines) {
      const words = line.split(": ").slice(1).join(": ").split(" ");
      const command = await findCommand(words)?.load();
      expect(command, line).toBeDefined();
      for (const option of line.match(/ --[a-z]+/g) ?? []) {
        expect(command!.help, line).toContain(option.trim());
      }
    }
  });

  it("contain the pages and headings that links and messages refer to", async () => {
    const folders = await Promise.all(["docs", "packages"].map(readPages));
    const pages = new Map([
      ...folders.flatMap((each) => [...each]),
      ["README.md", await readFile("README.md", "utf8")],
    ]);
    const links = [...pages].flatMap(([page, text]) =>
      [...text.matchAll(/\]\(([^):#]+)(?:#[^)]*)?\)/g)].map((match) =>
        join(dirname(page), match[1]!)
      )
    );
    expect(links).not.toEqual([]);
    expect(links.filter((each) => !existsSync(each))).toEqual([]);
    const commands = "packages/kingcupglade/commands";
    for (const file of await readdir(commands)) {
      const text = await readFile(join(commands, file), "utf8");
      for (const [, heading, page] of text.matchAll(headingReference)) {
        expect(pages.get(page!), file).toContain(`\n## ${heading}\n`);
      }
    }
  });

  it("document every command and exit code for operators", async () => {
    const rows = await readReferenceTable("docs/OPERATING.md", "Commands");
    expect([...rows.keys()]).toEqual(commandNames);
    const codes = await readReferenceTable("docs/OPERATING.md", "Exit codes");
    expect([...codes.keys()]).toEqual(["0", "1", "2"]);
  });

  it("document every reason for callers", async () => {
    const rows = await readReferenceTable("docs/CALLERS.md", "Answers");
    const documentedReasons = Object.values(Reason).filter((each) =>
      !undocumentedReasons.includes(each)
    );
    expect([...rows.keys()]).toEqual(expect.arrayContaining(documentedReasons));
  });

  it("document each event and metric once", async () => {
    const text = await readFile("docs/operating/events.md", "utf8");
    const rows = [...text.matchAll(/^\| `([a-z_-]+)`/gm)].map((row) => row[1]);
    expect(rows).not.toEqual([]);
    expect(rows.filter((row, at) => rows.indexOf(row) !== at)).toEqual([]);
  });
});
