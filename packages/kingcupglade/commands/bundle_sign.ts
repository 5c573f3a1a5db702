import { parseArgs } from "node:util";
import { parseBundle, signBundle } from "@kingcupglade/bundle";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile, readTextFile, writeJsonFile } from "./files.ts";

/** `bundle sign`: adds an operator's signature to a bundle. */
export const bundleSignCommand: Command = {
  help:
    `Usage: kingcupglade bundle sign FILE --key KEY --operator NAME --out SIGNED

Adds a signature. FILE is a bundle document or one that others have signed.

Example:
  kingcupglade bundle sign bundle.json --key mei.pem --operator mei --out signed.json
`,
  async run(commandArguments) {
    const { values, positionals } = parseArgs({
      args: [...commandArguments],
      allowPositionals: true,
      options: {
        key: { type: "string" },
        operator: { type: "string" },
        out: { type: "string" },
      },
    });
    const [path] = positionals;
    const { key, operator, out } = values;
    if (!path || !key || !operator || !out) {
      throw new UsageError(
        "bundle sign needs FILE, --key KEY, --operator NAME and --out SIGNED",
      );
    }
    const bundle = await readBundleFile(path);
    parseBundle(bundle.document);
    const privateKey = await readTextFile(key);
    await writeJsonFile(out, signBundle(bundle, { operator, privateKey }));
    return ExitCode.done;
  },
};
