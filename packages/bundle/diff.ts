import { homeRegions } from "./home_regions.ts";
import type { Bundle } from "./schema.ts";

/** Names of entries that were added, removed or changed. */
export interface NameChanges {
  readonly added: readonly string[];
  readonly removed: readonly string[];
  readonly changed: readonly string[];
}

/** Home regions of a tenant for a service, before and after. */
export interface HomeRegionChange {
  readonly service: string;
  readonly tenant: string;
  readonly before: readonly string[];
  readonly after: readonly string[];
}

/** The differences between two bundles. */
export interface BundleDifference {
  readonly fromVersion: number;
  readonly toVersion: number;
  readonly operators: NameChanges;
  /** Number of signatures that each bundle requires of the next one. */
  readonly requiredSignatures: {
    readonly before: number;
    readonly after: number;
  };
  readonly services: NameChanges;
  readonly tenants: NameChanges;
  /** Routes, identified by their path prefixes. */
  readonly routes: NameChanges;
  readonly dataCentres: NameChanges;
  /** Names of the data centres that are taken out of service. */
  readonly takenOut: readonly string[];
  /** Names of the data centres that are brought back into service. */
  readonly broughtBack: readonly string[];
  /** Only of services and tenants that are in both bundles. */
  readonly homes: readonly HomeRegionChange[];
}

/** Represents the bundle in force before the first roll. */
export const emptyBundle: Bundle = {
  version: 0,
  operators: [],
  requiredSignatures: 1,
  dataCentres: [],
  services: [],
  tenants: [],
  routes: [],
};

/** Compares two validated bundles. */
export function diffBundles(before: Bundle, after: Bundle): BundleDifference {
  return {
    fromVersion: before.version,
    toVersion: after.version,
    operators: diffNames(before.operators, after.operators),
    requiredSignatures: {
      before: before.requiredSignatures,
      after: after.requiredSignatures,
    },
    services: diffNames(before.services, after.services),
    tenants: diffNames(before.tenants, after.tenants),
    routes: diffNames(
      namedByPathPrefix(before.routes),
      namedByPathPrefix(after.routes),
    ),
    dataCentres: diffNames(before.dataCentres, after.dataCentres),
    takenOut: findSwitchedDataCentres(before, after, { inService: false }),
    broughtBack: findSwitchedDataCentres(before, after, { inService: true }),
    homes: diffHomeRegions(before, after),
  };
}

function namedByPathPrefix(
  routes: Bundle["routes"],
): readonly { readonly name: string }[] {
  return routes.map((route) => ({ ...route, name: route.pathPrefix }));
}

function diffNames(
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): NameChanges {
  const previous = new Map(
    before.map((each) => [each.name, JSON.stringify(each)]),
  );
  const names = new Set(after.map((each) => each.name));
  return {
    added: after.filter((each) => !previous.has(each.name)).map(nameOf),
    removed: before.filter((each) => !names.has(each.name)).map(nameOf),
    changed: after.filter((each) =>
      previous.has(each.name) &&
      previous.get(each.name) !== JSON.stringify(each)
    ).map(nameOf),
  };
}

function nameOf(entry: { readonly name: string }): string {
  return entry.name;
}

function findSwitchedDataCentres(
  before: Bundle,
  after: Bundle,
  to: { readonly inService: boolean },
): readonly string[] {
  const previous = new Map(
    before.dataCentres.map((each) => [each.name, each.inService]),
  );
  return after.dataCentres.filter((each) =>
    each.inService === to.inService && previous.get(each.name) === !to.inService
  ).map(nameOf);
}

function diffHomeRegions(
  before: Bundle,
  after: Bundle,
): readonly HomeRegionChange[] {
  const known = new Set(before.tenants.map(nameOf));
  const services = after.services.filter((service) =>
    before.services.some((each) => each.name === service.name)
  );
  return services.flatMap((service) =>
    after.tenants.filter((tenant) => known.has(tenant.name)).flatMap(
      (tenant) => {
        const subject = { service: service.name, tenant: tenant.name };
        const previous = homeRegions(before, subject);
        const next = homeRegions(after, subject);
        return previous.join() === next.join()
          ? []
          : [{ ...subject, before: previous, after: next }];
      },
    )
  );
}
