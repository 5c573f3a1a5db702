import { parseArgs } from "node:util";
import { readSecrets } from "../settings/secrets.ts";
import { readSettings } from "../settings/read.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";

/** `settings check`: checks a settings file and prints what it resolves to. */
export const settingsCheckCommand: Command = {
  help: `Usage: kingcupglade settings check FILE

Checks a settings file and the secrets that it names, and prints the settings
with every default filled in.

Example:
  kingcupglade settings check vm-1.ini
`,
  async run(commandArguments) {
    const { positionals } = parseArgs({
      args: [...commandArguments],
      allowPositionals: true,
      options: {},
    });
    const [path] = positionals;
    if (path === undefined || positionals.length > 1) {
      throw new UsageError("settings check needs one FILE");
    }
    const settings = await readSettings(path);
    await readSecrets(settings);
    process.stdout.write(`${JSON.stringify(settings, null, 2)}\n`);
    return ExitCode.done;
  },
};
