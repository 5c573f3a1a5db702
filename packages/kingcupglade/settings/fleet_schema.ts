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

/** What the other VMs are told of this one, where it differs from [listen]. */
const advertise = {
  /** Address for the other VMs. @default `listen.peers` */
  peers: socketAddress.optional(),
  /**
   * Whether connections to other VMs are bound to the IP of `listen.peers`.
   * @default whether this section names an address
   */
  bindConnections: z.boolean().optional(),
};

const seconds = z.coerce.number().positive();

/**
 * A leader holds a watch for 0.6 s at least, and with it the renewal of a lease; a
 * shorter bound leaves gateways without one.
 */
const minimumRevokeSeconds = 1;
/** An hour; a longer bound is a mistake in the unit. */
const maximumRevokeSeconds = 3600;

/**
 * Gateways return unused allowances a window after they used them; below a second,
 * the messages for that would outnumber the watches.
 */
const minimumQuotaWindowSeconds = 1;
/** A new leader lends nothing for a window; more than a minute is a mistake. */
const maximumQuotaWindowSeconds = 60;

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
  dispatch: z.strictObject({
    /** Whether new and recovered targets get requests slowly. @default true */
    paceTargets: z.boolean().default(true),
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
  workspaces: z.strictObject({
    /**
     * Time after the acknowledgement of a change that revokes keys from which
     * no request with such a key reaches a target. @default no bound
     */
    revokeSeconds: z.coerce.number().min(minimumRevokeSeconds).max(
      maximumRevokeSeconds,
    ).optional(),
  }).prefault({}),
  quotas: z.strictObject({
    /** Sliding window over which limits of workspaces are kept. @default 5 */
    windowSeconds: z.coerce.number().min(minimumQuotaWindowSeconds).max(
      maximumQuotaWindowSeconds,
    ).default(5),
    /** Share by which a limit may be exceeded in a window. @default 0.1 */
    overage: z.coerce.number().min(0).max(1).default(0.1),
    /** Requests in a window beyond that. @default 20 */
    slack: z.coerce.number().min(0).default(20),
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
  advertise: z.strictObject(advertise).prefault({}),
  callers: z.strictObject({
    /** Requests of one connection in progress at a time. @default 4 */
    concurrentPerConnection: integer(1, 64).default(4),
    /**
     * File descriptors, sockets included, that the VM may use. Three quarters are
     * for callers. @default what the system allows the process
     */
    fileDescriptors: integer(64, 1_048_576).optional(),
    /**
     * Wait for the processor of the VM from which it refuses requests.
     * @default none, and all requests are taken
     */
    maximumWaitMilliseconds: integer(10, 60_000).optional(),
  }).prefault({}),
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
  advertise: z.strictObject({
    ...advertise,
    /** Address for targets and operators. @default `listen.control` */
    control: socketAddress.optional(),
  }).prefault({}),
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
