import { join } from "node:path";
import { mkdir, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { writeJsonFile } from "./files.ts";
import { formatTable } from "./table.ts";

const plotsFolder = "dist/plots";

/** `experiment`: runs a measurement by its name. */
export const experimentCommand: Command = {
  help: `Usage: kingcupglade experiment NAME [--seed N] [--json FILE]
       kingcupglade experiment --list

Runs one measurement on loopback with fake targets and prints its figures.
Exits with 1 when a stated target is missed. Plots go to ${plotsFolder}.

Examples:
  kingcupglade experiment --list
  kingcupglade experiment lost-owner --seed 7 --json lost-owner.json
`,
  async run(commandArguments) {
    const { values, positionals } = parseArgs({
      args: [...commandArguments],
      allowPositionals: true,
      options: {
        list: { type: "boolean" },
        seed: { type: "string", default: "1" },
        json: { type: "string" },
      },
    });
    const library = await import("@kingcupglade/experiments");
    if (values.list) {
      for (const [name, load] of library.experiments) {
        process.stdout.write(`${name}: ${(await load()).summary}\n`);
      }
      return ExitCode.done;
    }
    const name = positionals[0] ?? "";
    const seed = Number(values.seed);
    const load = library.experiments.get(name);
    if (!load || !Number.isSafeInteger(seed)) {
      throw new UsageError(
        "experiment needs a NAME of `experiment --list` and a whole --seed",
      );
    }
    const result = await (await load()).run({
      seed,
      progress: (line) => process.stderr.write(`${name}: ${line}\n`),
    });
    process.stdout.write(
      `${formatTable(library.figureColumns, library.figureRows(result))}\n`,
    );
    if (values.json) {
      await writeJsonFile(values.json, { name, seed, figures: result.figures });
    }
    await writePlots(result.plots ?? {});
    return library.meetsTargets(result) ? ExitCode.done : ExitCode.failed;
  },
};

async function writePlots(
  plots: Readonly<Record<string, string>>,
): Promise<void> {
  for (const [file, svg] of Object.entries(plots)) {
    await mkdir(plotsFolder, { recursive: true });
    await writeFile(join(plotsFolder, file), svg);
  }
}
