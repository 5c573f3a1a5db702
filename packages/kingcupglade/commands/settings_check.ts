import { readSecrets } from "../settings/secrets.ts";
import { readFleetSettings, readSettings } from "../settings/read.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import { readTls } from "../settings/tls.ts";
import { parseFileArguments } from "./arguments.ts";
import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";

/** `settings check`: validates a settings file and prints all settings. */
export const settingsCheckCommand: Command = {
  help: `Usage: kingcupglade settings check FILE [--json]

Checks a settings file, with the secrets and certificates that it names, and
prints the settings as JSON with every default filled in.

Example:
  kingcupglade settings check vm-1.ini
`,
  async run(commandArguments) {
    const { path } = parseFileArguments(commandArguments, "settings check");
    const settings = await readFleetSettings(path) ??
      await readCheckedSettings(path);
    process.stdout.write(`${JSON.stringify(settings, null, 2)}\n`);
    return ExitCode.done;
  },
};

async function readCheckedSettings(path: string): Promise<ResolvedSettings> {
  const settings = await readSettings(path);
  await readSecrets(settings);
  await readTls(settings);
  return settings;
}
