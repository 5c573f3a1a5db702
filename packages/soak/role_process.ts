import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { ServerProcess } from "./server_process.ts";

/** Ports that the VMs of a test fleet listen on. */
export const RolePort = {
  control: 8300,
  callers: 8301,
  readiness: 8302,
  peers: 8390,
} as const;

const defaultGraceSeconds = 3;
const millisecondsPerSecond = 1000;

/** Options of {@link createRoleProcess}. */
export interface RoleProcessOptions {
  readonly role: "control" | "gateway";
  readonly name: string;
  readonly ip: string;
  /** Control addresses, as IP:PORT. */
  readonly seeds: readonly string[];
  /** Number of data folders that may be lost at the same time. */
  readonly toleratedLosses: number;
  /** Time from a stop signal until the process is ended. @default 3 */
  readonly graceSeconds?: number;
  /** Further sections of the settings. @default none */
  readonly sections?: string;
  /** Path of the bundled program. */
  readonly bundle: string;
  /** Folder for settings, data folders and logs. */
  readonly folder: string;
}

/** Writes the settings of a VM with a role; its process is not started. */
export async function createRoleProcess(
  options: RoleProcessOptions,
): Promise<ServerProcess> {
  const { name, folder, bundle, graceSeconds = defaultGraceSeconds } = options;
  const settingsFile = join(folder, `${name}.ini`);
  await mkdir(join(folder, `data-${name}`), { recursive: true });
  await writeFile(settingsFile, createSettingsText(options));
  return new ServerProcess({
    name,
    bundle,
    settingsFile,
    logFile: join(folder, `${name}.log`),
    graceMilliseconds: graceSeconds * millisecondsPerSecond,
  });
}

function createSettingsText(options: RoleProcessOptions): string {
  const { role, name, ip, seeds, toleratedLosses, folder } = options;
  const { graceSeconds = defaultGraceSeconds, sections = "" } = options;
  const listen = role === "control"
    ? `control = ${ip}:${RolePort.control}`
    : `callers = ${ip}:${RolePort.callers}
readiness = ${ip}:${RolePort.readiness}`;
  return `[vm]
name = ${name}
role = ${role}
dataCentre = a
region = north
${role === "control" ? `dataFolder = ${join(folder, `data-${name}`)}` : ""}
[listen]
${listen}
peers = ${ip}:${RolePort.peers}
[control]
seeds = ${seeds.join(",")}
mayFound = true
toleratedLosses = ${toleratedLosses}
heartbeatSeconds = 0.25
[stop]
graceSeconds = ${graceSeconds}
[regions]
a = north
${sections}`;
}
