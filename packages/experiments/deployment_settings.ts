import type { DataCentreDescription } from "./deployment_options.ts";

const port = {
  callers: 8100,
  targets: 8200,
  peers: 8300,
  operators: 8400,
} as const;

/** Listeners of a VM, as IP:PORT. */
export interface Listeners {
  readonly callers: string;
  readonly targets: string;
  readonly peers: string;
  readonly operators: string;
}

/** Returns the listeners of the VM with an IP address. */
export function listenersAt(ip: string): Listeners {
  return {
    callers: `${ip}:${port.callers}`,
    targets: `${ip}:${port.targets}`,
    peers: `${ip}:${port.peers}`,
    operators: `${ip}:${port.operators}`,
  };
}

/** Input of {@link settingsText}. */
export interface SettingsSource {
  readonly name: string;
  readonly dataCentres: readonly DataCentreDescription[];
  /** Data centre of each VM, by VM name. */
  readonly vms: Readonly<Record<string, string>>;
  readonly voters: readonly string[];
  /** @default the voters */
  readonly vmsWithDisk?: readonly string[];
  /** Additional settings of the control section. */
  readonly control?: Readonly<Record<string, number>>;
  /** @default "silent" */
  readonly logLevel?: string;
  readonly listeners: Listeners;
  /** Addresses at which this VM reaches the others, by VM name. */
  readonly peers: Readonly<Record<string, string>>;
  /** Public key of the operator. */
  readonly operator: string;
}

/** Returns the text of the settings file of a VM. */
export function settingsText(source: SettingsSource): string {
  const { name, vms, dataCentres, voters, vmsWithDisk } = source;
  const dataCentre = dataCentres.find((each) => each.name === vms[name])!;
  const hasDisk = (vmsWithDisk ?? voters).includes(name);
  return [
    "[vm]",
    `name = ${name}`,
    `dataCentre = ${dataCentre.name}`,
    `region = ${dataCentre.region}`,
    ...(hasDisk ? [`dataFolder = ${name}`] : []),
    "[listen]",
    ...formatEntries(source.listeners),
    "[control]",
    `voters = ${voters.join(", ")}`,
    ...formatEntries(source.control ?? {}),
    "[peers]",
    ...formatEntries(source.peers),
    "[operators]",
    `operator = ${source.operator}`,
    "[security]",
    "vmSecretFile = vm.secret",
    "targetSecretFile = target.secret",
    "[log]",
    `level = ${source.logLevel ?? "silent"}`,
    "",
  ].join("\n");
}

function formatEntries(
  values: Readonly<Record<string, string | number>> | Listeners,
): readonly string[] {
  return Object.entries(values).map(([key, value]) => `${key} = ${value}`);
}
