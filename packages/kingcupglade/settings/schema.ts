import { z } from "zod";
import { integer, name, socketAddress, splitList } from "./fields.ts";

const publicKey = z.string().regex(
  /^[A-Za-z0-9+/]{43}=$/,
  "must be a public key made by `kingcupglade key create`",
);

const nameList = z.string().transform((text) => [...splitList(text)]).pipe(
  z.array(name).min(1),
);

const listenerName = z.enum(["callers", "targets", "peers", "operators"]);

const listenerList = z.string().transform((text) => [...splitList(text)]).pipe(
  z.array(listenerName),
);

/** Schema of a VM's settings file: sections, keys, defaults and bounds. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    /** Name of this VM. */
    name,
    /** Data centre of this VM. */
    dataCentre: name,
    /** Region of the data centre. */
    region: name,
    /** Folder for the durable state; a VM without it stores none. */
    dataFolder: z.string().min(1).optional(),
  }),
  listen: z.strictObject({
    /** Listener for callers. */
    callers: socketAddress,
    /** Listener for targets' announcements. */
    targets: socketAddress,
    /** Listener for the other VMs. */
    peers: socketAddress,
    /** Listener for operators, metrics and health checks. */
    operators: socketAddress,
    /**
     * Time after a stop signal within which the load balancer must detect that
     * the VM is not ready, in milliseconds. @default 1000
     */
    leaveMilliseconds: integer(0, 60_000).default(1000),
  }),
  control: z.strictObject({
    /** VMs that form the initial replica set, separated by commas. */
    voters: nameList,
    /** Signatures required for the first bundle. @default 1 */
    requiredSignatures: integer(1, 64).default(1),
    /** Lease of a VM's routing table, in milliseconds. @default 1500 */
    routingLeaseMilliseconds: integer(200, 10_000).default(1500),
    /** Lease of a target's grants, in milliseconds. @default 1500 */
    targetLeaseMilliseconds: integer(200, 10_000).default(1500),
    /**
     * Time without contact after which a voter is replaced by a standby, in
     * milliseconds. @default 5000
     */
    repairMilliseconds: integer(1000, 3_600_000).default(5000),
    /**
     * Like `repairMilliseconds`, for a voter whose VM stops as planned.
     * @default 30000
     */
    restartMilliseconds: integer(1000, 3_600_000).default(30_000),
  }),
  /** Peer listener address of every VM, including this one. */
  peers: z.record(name, socketAddress),
  /** Public keys of the operators who sign the first bundle. */
  operators: z.record(name, publicKey),
  security: z.strictObject({
    /** File with the secret that VMs present to each other. */
    vmSecretFile: z.string().min(1),
    /** File with the secret that targets present. */
    targetSecretFile: z.string().min(1),
  }),
  tls: z.strictObject({
    /** Listeners that use TLS, separated by commas. @default none */
    listeners: listenerList.default([]),
    /** Certificate chain of this VM, PEM; it must contain the VM's IPs. */
    certificateFile: z.string().min(1).optional(),
    /** Private key of the certificate, PEM. */
    keyFile: z.string().min(1).optional(),
    /** Certificate authority of the VMs and targets, PEM. */
    authorityFile: z.string().min(1).optional(),
  }).prefault({}),
  log: z.strictObject({
    /** @default "info" */
    level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  }).prefault({}),
});

/** Settings of a VM, including all defaults. */
export type ResolvedSettings = z.output<typeof settingsSchema>;

/** Returns the keys of a section, or all section names for the path "". */
export function listKnownKeys(
  schema: z.ZodObject,
  path: string,
): readonly string[] {
  if (path === "") return Object.keys(schema.shape);
  const section = schema.shape[path] as z.ZodType | undefined;
  const inner = section instanceof z.ZodPrefault ? section.unwrap() : section;
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}
