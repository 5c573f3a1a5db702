import { readFile } from "node:fs/promises";
import { SettingsError } from "./read.ts";
import type { ResolvedSettings } from "./schema.ts";

const minimumSecretCharacters = 16;

/** Secrets that a VM verifies and presents. */
export interface Secrets {
  /** Presented by VMs to each other. */
  readonly vm: string;
  /** Presented by targets. */
  readonly target: string;
}

/**
 * Reads the secret files.
 *
 * @throws {SettingsError} when a file is missing or too short.
 */
export async function readSecrets(
  settings: ResolvedSettings,
): Promise<Secrets> {
  const { security } = settings;
  return {
    vm: await readSecret("security.vmSecretFile", security.vmSecretFile),
    target: await readSecret(
      "security.targetSecretFile",
      security.targetSecretFile,
    ),
  };
}

/**
 * Reads one secret file.
 *
 * @throws {SettingsError} when it is missing or too short.
 */
export async function readSecret(
  setting: string,
  path: string,
): Promise<string> {
  let text: string;
  try {
    text = (await readFile(path, "utf8")).trim();
  } catch (cause) {
    throw new SettingsError(
      `${setting}: ${path} cannot be read; create it with a random line of at least ${minimumSecretCharacters} characters`,
      { cause },
    );
  }
  if (text.length < minimumSecretCharacters) {
    throw new SettingsError(
      `${setting}: ${path} contains fewer than ${minimumSecretCharacters} characters; use a longer random line`,
    );
  }
  return text;
}
