import type { Bundle } from "./schema.ts";

/** Lists of allowed regions; undefined allows every region. */
type AllowedRegionLists = readonly (readonly string[] | undefined)[];

interface HomeRegionIndex {
  readonly regions: readonly string[];
  readonly services: ReadonlyMap<string, readonly string[]>;
  readonly tenants: ReadonlyMap<string, readonly string[] | undefined>;
}

const homeRegionIndexes = new WeakMap<Bundle, HomeRegionIndex>();

/**
 * Returns the regions that may serve and store the requests of a tenant for a
 * service: those that the service, its routes and the tenant all allow, sorted.
 */
export function homeRegions(
  source: Bundle,
  subject: { readonly service: string; readonly tenant?: string | undefined },
): readonly string[] {
  let index = homeRegionIndexes.get(source);
  if (!index) homeRegionIndexes.set(source, index = indexHomeRegions(source));
  const serviceRegions = index.services.get(subject.service) ?? index.regions;
  const tenantRegions = subject.tenant === undefined
    ? undefined
    : index.tenants.get(subject.tenant);
  return tenantRegions
    ? filterRegions(serviceRegions, [tenantRegions])
    : serviceRegions;
}

function indexHomeRegions(source: Bundle): HomeRegionIndex {
  const regions = [...new Set(source.dataCentres.map((each) => each.region))]
    .sort();
  const limits = new Map(
    source.services.map((each): [string, AllowedRegionLists] => [
      each.name,
      [each.homeRegions],
    ]),
  );
  for (const { service, homeRegions } of source.routes) {
    limits.set(service, [...limits.get(service) ?? [], homeRegions]);
  }
  return {
    regions,
    services: new Map(
      [...limits].map(([name, lists]) => [name, filterRegions(regions, lists)]),
    ),
    tenants: new Map(
      source.tenants.map((each) => [each.name, each.homeRegions]),
    ),
  };
}

function filterRegions(
  regions: readonly string[],
  allowedLists: AllowedRegionLists,
): readonly string[] {
  return regions.filter((region) =>
    allowedLists.every((allowed) => !allowed || allowed.includes(region))
  );
}
