import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import { nearestName } from "@kingcupglade/bundle";
import ini from "ini";
import type { z } from "zod";
import { FleetRole, fleetSchemas } from "./fleet_schema.ts";
import type { ResolvedFleetSettings } from "./fleet_schema.ts";
import { listKnownKeys, settingsSchema } from "./schema.ts";
import type { ResolvedSettings } from "./schema.ts";

/** Invalid settings; the message lists each setting and how to correct it. */
export class SettingsError extends Error {
  override readonly name = "SettingsError";
}

/**
 * Reads a settings file. Its paths are resolved relative to the file.
 *
 * @throws {SettingsError} when it cannot be read or a setting is invalid.
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
      `settings file ${path} cannot be read; specify its path with --settings`,
      { cause },
    );
  }
}

/**
 * Reads the settings file of a VM of a fleet. Returns undefined if it specifies
 * no role, as in the file of a VM that combines all roles.
 *
 * @throws {SettingsError} when it cannot be read or a setting is invalid.
 */
export async function readFleetSettings(
  path: string,
): Promise<ResolvedFleetSettings | undefined> {
  return parseFleetSettings(await readText(path), path);
}

/**
 * Parses and validates the text of a settings file of a fleet. Returns undefined
 * if it specifies no role.
 *
 * @throws {SettingsError} listing every error.
 */
export function parseFleetSettings(
  text: string,
  path: string,
): ResolvedFleetSettings | undefined {
  const document = toPlainObject(ini.parse(text)) as {
    readonly vm?: { readonly role?: string };
  };
  const role = document.vm?.role;
  if (role === undefined) return undefined;
  if (!isFleetRole(role)) {
    throw new SettingsError(
      `${path}: vm.role: "${role}" is unknown; the roles are ${
        Object.values(FleetRole).join(", ")
      }`,
    );
  }
  const result = fleetSchemas[role].safeParse(document);
  if (result.success) return result.data;
  const faults = result.error.issues.flatMap((issue) =>
    describeIssue(issue, fleetSchemas[role])
  );
  throw new SettingsError(`${path}: ${faults.join("; ")}`);
}

function isFleetRole(role: string): role is FleetRole {
  return role in fleetSchemas;
}

/**
 * Parses and validates the text of a settings file.
 *
 * @throws {SettingsError} listing every error.
 */
export function parseSettings(text: string, path: string): ResolvedSettings {
  const result = settingsSchema.safeParse(toPlainObject(ini.parse(text)));
  const faults = result.success
    ? findInconsistencies(result.data)
    : result.error.issues.flatMap((issue) =>
      describeIssue(issue, settingsSchema)
    );
  if (result.success && faults.length === 0) return result.data;
  throw new SettingsError(`${path}: ${faults.join("; ")}`);
}

/** Returns inconsistencies between individually valid settings. */
function findInconsistencies(settings: ResolvedSettings): readonly string[] {
  const { vm, listen, control, peers } = settings;
  const unknownVoters = control.voters.filter((voter) => !(voter in peers));
  const faults: readonly (readonly [boolean, string])[] = [
    [
      !(vm.name in peers),
      `vm.name: "${vm.name}" is not in [peers]; add it there on every VM`,
    ],
    [
      vm.name in peers && peers[vm.name] !== listen.peers,
      `listen.peers: ${listen.peers} differs from peers.${vm.name}, ${
        peers[vm.name]
      }; make them equal`,
    ],
    [
      unknownVoters.length > 0,
      `control.voters: ${
        unknownVoters.join(", ")
      } not in [peers]; add them there or remove them from the voters`,
    ],
    [
      control.voters.includes(vm.name) && vm.dataFolder === undefined,
      `vm.dataFolder is missing; "${vm.name}" is among control.voters and must store the control log`,
    ],
  ];
  return faults.filter(([isFault]) => isFault).map(([, text]) => text);
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
  const { vm, security, tls } = settings;
  const absolute = (path: string | undefined) =>
    path === undefined ? undefined : resolve(folder, path);
  return {
    ...settings,
    vm: {
      ...vm,
      dataFolder: absolute(vm.dataFolder),
    },
    tls: {
      ...tls,
      certificateFile: absolute(tls.certificateFile),
      keyFile: absolute(tls.keyFile),
      authorityFile: absolute(tls.authorityFile),
    },
    security: {
      vmSecretFile: resolve(folder, security.vmSecretFile),
      targetSecretFile: resolve(folder, security.targetSecretFile),
    },
  };
}

function describeIssue(
  issue: z.core.$ZodIssue,
  schema: z.ZodObject,
): readonly string[] {
  const path = issue.path.join(".");
  if (issue.code === "unrecognized_keys") {
    const known = listKnownKeys(schema, path);
    return issue.keys.map((key) => {
      const nearest = nearestName(key, known);
      const name = path === "" ? `section [${key}]` : `${path}.${key}`;
      return nearest === undefined
        ? `${name} is unknown; the names are ${known.join(", ")}`
        : `${name} is unknown; did you mean "${nearest}"?`;
    });
  }
  const isMissing = issue.code === "invalid_type" &&
    issue.input === undefined &&
    issue.message.includes("undefined");
  return [
    isMissing
      ? `${path} is missing; see docs/SETTINGS.md`
      : `${path || "settings"}: ${issue.message}`,
  ];
}
