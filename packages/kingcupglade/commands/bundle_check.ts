import { bundleDigest, parseBundle } from "@kingcupglade/bundle";
import { parseFileArguments } from "./arguments.ts";
import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile } from "./files.ts";

/** `bundle check`: validates a bundle document. */
export const bundleCheckCommand: Command = {
  help: `Usage: kingcupglade bundle check FILE [--json]

Checks a bundle document and prints its version, digest and signers. Each
fault is named by its path in the document.

Examples:
  kingcupglade bundle check bundle.json
  kingcupglade bundle check signed.json --json
`,
  async run(commandArguments) {
    const { path, json } = parseFileArguments(commandArguments, "bundle check");
    const { document, signatures } = await readBundleFile(path);
    const { version } = parseBundle(document);
    const digest = bundleDigest(document);
    const operators = signatures.map((each) => each.operator);
    process.stdout.write(
      json
        ? `${JSON.stringify({ version, digest, signedBy: operators })}\n`
        : `version ${version}, digest ${digest}, signed by ${
          operators.join(", ") || "nobody yet"
        }\n`,
    );
    return ExitCode.done;
  },
};
