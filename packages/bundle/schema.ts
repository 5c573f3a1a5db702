import { z } from "zod";
import { BundleError } from "./errors.ts";
import type { BundleFault } from "./errors.ts";
import { homeRegions } from "./home_regions.ts";
import { describeIssue } from "./schema_faults.ts";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be 1 to 63 lower-case letters, digits or hyphens",
);

const deadlineMilliseconds = z.number().int().min(10).max(60_000);

/** How requests are distributed over the targets of a service. */
export const ServiceKind = {
  /** Each key is owned by one of the targets. */
  keyed: "keyed",
  /** Any target can serve any request. */
  shared: "shared",
} as const;
export type ServiceKind = typeof ServiceKind[keyof typeof ServiceKind];

/** Where a request carries a value, or a constant value for all requests. */
const requestField = z.union([
  z.strictObject({ header: z.string().regex(/^[a-z0-9-]+$/) }),
  z.strictObject({ pathSegment: z.number().int().min(0).max(15) }),
  z.strictObject({ value: name }),
], 'must be one of {"header": NAME}, {"pathSegment": NUMBER}, {"value": NAME}');

const operator = z.strictObject({
  name,
  /** Raw ed25519 public key, base64. */
  publicKey: z.string().regex(/^[A-Za-z0-9+/]{43}=$/, "must be a public key"),
});

const dataCentre = z.strictObject({
  name,
  region: name,
  /** @default true */
  inService: z.boolean().default(true),
});

const service = z.strictObject({
  name,
  kind: z.enum(ServiceKind),
  /** Regions that may serve and store the service; all regions when absent. */
  homeRegions: z.array(name).min(1).optional(),
  /**
   * Whether the targets refuse requests with an outdated fencing epoch.
   * @default true
   */
  checksFences: z.boolean().default(true),
  /** Initial number of hash ranges of the key space. @default 64 */
  initialRanges: z.number().int().min(1).max(4096).default(64),
  /** Deadline of a request, unless its route sets one. @default 1000 */
  deadlineMilliseconds: deadlineMilliseconds.default(1000),
});

const tenant = z.strictObject({
  name,
  /** Regions that may serve and store the tenant; all regions when absent. */
  homeRegions: z.array(name).min(1).optional(),
  /** Share of a service's capacity relative to the other tenants. @default 1 */
  weight: z.number().min(0.01).max(100).default(1),
});

const route = z.strictObject({
  /** Matches requests whose path starts with it; the longest prefix wins. */
  pathPrefix: z.string().startsWith("/"),
  service: name,
  tenant: requestField,
  /** Required for keyed services. */
  key: requestField.optional(),
  /** Priority class; a label of the latency histograms. @default "normal" */
  class: z.enum(["urgent", "normal", "bulk"]).default("normal"),
  /** @default ["GET", "HEAD"] */
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/)).default([
    "GET",
    "HEAD",
  ]),
  /** Regions that may serve and store the route; all regions when absent. */
  homeRegions: z.array(name).min(1).optional(),
  deadlineMilliseconds: deadlineMilliseconds.optional(),
  /** @default 1048576 */
  maximumBodyBytes: z.number().int().min(0).max(1 << 30).default(1 << 20),
  /**
   * How a VM outside the home regions handles a request that it receives.
   * @default "forward"
   */
  outsideHome: z.enum(["forward", "redirect"]).default("forward"),
});

/** The schema of a bundle document. */
export const bundleSchema = z.strictObject({
  /** Increases with every roll. */
  version: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  operators: z.array(operator).min(1).max(64),
  /** Number of signatures that the next bundle requires. @default 1 */
  requiredSignatures: z.number().int().min(1).default(1),
  dataCentres: z.array(dataCentre).min(1).max(64),
  services: z.array(service).max(256),
  tenants: z.array(tenant).max(4096),
  routes: z.array(route).max(1024),
});

/** A validated bundle with its defaults applied. */
export type Bundle = z.output<typeof bundleSchema>;
/** A service of a bundle. */
export type BundleService = Bundle["services"][number];
/** A route of a bundle. */
export type BundleRoute = Bundle["routes"][number];
/** A tenant of a bundle. */
export type BundleTenant = Bundle["tenants"][number];
/** A data centre of a bundle. */
export type BundleDataCentre = Bundle["dataCentres"][number];
/** Source of the tenant or key of a route's requests. */
export type RequestField = z.output<typeof requestField>;

/**
 * Validates a bundle document and applies its defaults.
 *
 * @throws {BundleError} listing all validation errors.
 */
export function parseBundle(document: unknown): Bundle {
  const result = bundleSchema.safeParse(document);
  if (!result.success) {
    throw new BundleError(
      result.error.issues.flatMap((issue) =>
        describeIssue(bundleSchema, issue)
      ),
    );
  }
  const faults = findFaults(result.data);
  if (faults.length > 0) throw new BundleError(faults);
  return result.data;
}

function findFaults(candidate: Bundle): BundleFault[] {
  const regions = new Set(candidate.dataCentres.map((each) => each.region));
  return [
    ...findDuplicateNames("operators", candidate.operators),
    ...findDuplicateNames("dataCentres", candidate.dataCentres),
    ...findDuplicateNames("services", candidate.services),
    ...findDuplicateNames("tenants", candidate.tenants),
    ...findSignatureCountFaults(candidate),
    ...findUnknownRegions("services", candidate.services, regions),
    ...findUnknownRegions("tenants", candidate.tenants, regions),
    ...findUnknownRegions("routes", candidate.routes, regions),
    ...findRouteFaults(candidate),
    ...findEmptyHomeRegions(candidate, regions),
  ];
}

function findDuplicateNames(
  list: string,
  entries: readonly { readonly name: string }[],
): BundleFault[] {
  const seen = new Set<string>();
  return entries.flatMap((entry, index) => {
    const duplicate = seen.has(entry.name);
    seen.add(entry.name);
    return duplicate
      ? [{
        path: `${list}[${index}].name`,
        message: `the name "${entry.name}" is used twice`,
      }]
      : [];
  });
}

function findSignatureCountFaults(candidate: Bundle): BundleFault[] {
  if (candidate.requiredSignatures <= candidate.operators.length) return [];
  return [{
    path: "requiredSignatures",
    message:
      `${candidate.requiredSignatures} exceeds the number of operators, ${candidate.operators.length}; lower it or add operators`,
  }];
}

function findUnknownRegions(
  list: string,
  entries: readonly { readonly homeRegions?: readonly string[] | undefined }[],
  regions: ReadonlySet<string>,
): BundleFault[] {
  return entries.flatMap((entry, index) =>
    (entry.homeRegions ?? []).flatMap((region, regionIndex) =>
      regions.has(region) ? [] : [{
        path: `${list}[${index}].homeRegions[${regionIndex}]`,
        message: `no data centre lies in region "${region}"; the regions are ${
          [...regions].sort().join(", ")
        }`,
      }]
    )
  );
}

function findRouteFaults(candidate: Bundle): BundleFault[] {
  const services = new Map(candidate.services.map((each) => [each.name, each]));
  const prefixes = new Set<string>();
  return candidate.routes.flatMap((route, index) => {
    const faults: BundleFault[] = [];
    const routedService = services.get(route.service);
    if (!routedService) {
      faults.push({
        path: `routes[${index}].service`,
        message: `service "${route.service}" is not among the services`,
      });
    } else if (routedService.kind === ServiceKind.keyed && !route.key) {
      faults.push({
        path: `routes[${index}].key`,
        message: `is required because service "${route.service}" is keyed`,
      });
    }
    if (prefixes.has(route.pathPrefix)) {
      faults.push({
        path: `routes[${index}].pathPrefix`,
        message: `"${route.pathPrefix}" already has a route`,
      });
    }
    prefixes.add(route.pathPrefix);
    return faults;
  });
}

function findEmptyHomeRegions(
  candidate: Bundle,
  regions: ReadonlySet<string>,
): BundleFault[] {
  return candidate.services.flatMap((service, index) =>
    [undefined, ...candidate.tenants].flatMap((tenant) => {
      const home = homeRegions(candidate, {
        service: service.name,
        tenant: tenant?.name,
      });
      if (home.length > 0 || regions.size === 0) return [];
      return [{
        path: `services[${index}].homeRegions`,
        message: tenant
          ? `service "${service.name}" and tenant "${tenant.name}" share no home region`
          : `service "${service.name}" and its routes share no home region`,
      }];
    })
  );
}
