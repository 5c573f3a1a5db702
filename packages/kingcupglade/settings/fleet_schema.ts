import { z } from "zod";
import { addressList, integer, name, socketAddress } from "./fields.ts";

/** Role of a VM of a fleet. */
export const FleetRole = { gateway: "gateway", control: "control" } as const;
export type FleetRole = typeof FleetRole[keyof typeof FleetRole];

const vm = {
  /** Name of this VM. */
  name,
  /** Data centre of this VM. */
  dataCentre: name,
  /** Region of the data centre. */
  region: name,
};

const seconds = z.coerce.number().positive();

/** Settings common to both roles. */
const common = {
  control: z.strictObject({
    /** Control addresses used to discover the other control VMs. */
    seeds: addressList,
    /** Whether the whole fleet starts for the first time. @default false */
    mayFound: z.boolean().default(false),
    /** Data folders whose simultaneous loss is tolerated. @default 1 */
    toleratedLosses: integer(0, 5).default(1),
    /** Interval between heartbeats of a target. @default 1 */
    heartbeatSeconds: seconds.default(1),
  }),
  retries: z.strictObject({
    /** Retries per request, over all gateways. @default 0.2 */
    ratio: z.coerce.number().min(0).max(1).default(0.2),
    /** Window over which retries are counted. @default 10 */
    windowSeconds: seconds.default(10),
    /** Retries allowed beyond the ratio in each window. @default 20 */
    slack: z.coerce.number().min(0).default(20),
  }).prefault({}),
  link: z.strictObject({
    /**
     * Rate of the link of a gateway in each direction. Without it, nothing is
     * paced. @default none
     */
    megabitsPerSecond: z.coerce.number().positive().optional(),
  }).prefault({}),
  stop: z.strictObject({
    /** Time from a stop signal until the process is killed. @default 10 */
    graceSeconds: seconds.default(10),
  }).prefault({}),
  /** Region of each data centre. */
  regions: z.record(name, name),
  security: z.strictObject({
    /**
     * File with the secret that VMs present to each other. Without it, the
     * peer addresses must be reachable from the VMs only. @default none
     */
    vmSecretFile: z.string().min(1).optional(),
  }).prefault({}),
  log: z.strictObject({
    /** @default "info" */
    level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  }).prefault({}),
};

const gateway = z.strictObject({
  vm: z.strictObject({ ...vm, role: z.literal(FleetRole.gateway) }),
  listen: z.strictObject({
    /** Listener for callers. */
    callers: socketAddress,
    /** Listener for the readiness checks of the load balancer. */
    readiness: socketAddress,
    /** Listener for the other VMs; its port is the same on all of them. */
    peers: socketAddress,
    /** Listener for metrics. @default none */
    metrics: socketAddress.optional(),
  }),
  ...common,
});

const control = z.strictObject({
  vm: z.strictObject({
    ...vm,
    role: z.literal(FleetRole.control),
    /** Folder for the durable state. */
    dataFolder: z.string().min(1),
  }),
  listen: z.strictObject({
    /** Listener for targets and operators. */
    control: socketAddress,
    /** Listener for the other VMs; its port is the same on all of them. */
    peers: socketAddress,
    /** Listener for metrics. @default none */
    metrics: socketAddress.optional(),
  }),
  ...common,
});

/** Schemas of the settings files of a fleet, by role. */
export const fleetSchemas = {
  [FleetRole.gateway]: gateway,
  [FleetRole.control]: control,
} as const;

/** Settings of a gateway VM, including all defaults. */
export type ResolvedGatewaySettings = z.output<typeof gateway>;

/** Settings of a control VM, including all defaults. */
export type ResolvedControlSettings = z.output<typeof control>;

/** Settings of a VM of a fleet, including all defaults. */
export type ResolvedFleetSettings =
  | ResolvedGatewaySettings
  | ResolvedControlSettings;
