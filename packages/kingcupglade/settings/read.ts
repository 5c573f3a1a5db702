import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import ini from "ini";
import { settingsSchema } from "./schema.ts";
import type { ResolvedSettings } from "./schema.ts";

/** Settings that cannot be used; the message names each setting and the cure. */
export class SettingsError extends Error {
  override readonly name = "SettingsError";
}

/**
 * Reads a settings file. Paths in it are relative to the file.
 *
 * @throws {SettingsError} when it cannot be read or a setting is wrong.
 */
export async function readSettings(path: string): Promise<ResolvedSettings> {
  const settings = parseSettings(await readText(path), path);
  return withAbsolutePaths(settings, dirname(resolve(path)));
}

async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new SettingsError(
      `settings file ${path} cannot be read; give its path with --settings`,
      { cause },
    );
  }
}

/**
 * Checks the text of a settings file.
 *
 * @throws {SettingsError} naming every fault.
 */
export function parseSettings(text: string, path: string): ResolvedSettings {
  const result = settingsSchema.safeParse(toPlainObject(ini.parse(text)));
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) =>
    `${issue.path.join(".") || "settings"}: ${issue.message}`
  );
  throw new SettingsError(`${path}: ${faults.join("; ")}`);
}

function toPlainObject(parsed: Record<string, unknown>): unknown {
  return Object.fromEntries(
    Object.entries(parsed).map(([section, values]) => [
      section,
      values !== null && typeof values === "object" ? { ...values } : values,
    ]),
  );
}

function withAbsolutePaths(
  settings: ResolvedSettings,
  folder: string,
): ResolvedSettings {
  const { vm, security } = settings;
  return {
    ...settings,
    vm: {
      ...vm,
      ...(vm.dataFolder === undefined
        ? {}
        : { dataFolder: resolve(folder, vm.dataFolder) }),
    },
    security: {
      vmSecretFile: resolve(folder, security.vmSecretFile),
      targetSecretFile: resolve(folder, security.targetSecretFile),
    },
  };
}
