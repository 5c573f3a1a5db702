import type { Bundle } from "./schema.ts";

type RegionLists = readonly (readonly string[] | undefined)[];

interface Homes {
  readonly regions: readonly string[];
  readonly services: ReadonlyMap<string, readonly string[]>;
  readonly tenants: ReadonlyMap<string, readonly string[] | undefined>;
}

const homesOfBundles = new WeakMap<Bundle, Homes>();

/**
 * The regions that may serve and store the requests of a tenant for a service:
 * those that the service, its routes and the tenant all allow, sorted.
 */
export function homeRegions(
  source: Bundle,
  subject: { readonly service: string; readonly tenant?: string | undefined },
): readonly string[] {
  let homes = homesOfBundles.get(source);
  if (!homes) homesOfBundles.set(source, homes = indexHomes(source));
  const home = homes.services.get(subject.service) ?? homes.regions;
  const limit = subject.tenant === undefined
    ? undefined
    : homes.tenants.get(subject.tenant);
  return limit ? allowedBy(home, [limit]) : home;
}

function indexHomes(source: Bundle): Homes {
  const regions = [...new Set(source.dataCentres.map((each) => each.region))]
    .sort();
  const limits = new Map(
    source.services.map((each): [string, RegionLists] => [
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
      [...limits].map(([name, lists]) => [name, allowedBy(regions, lists)]),
    ),
    tenants: new Map(
      source.tenants.map((each) => [each.name, each.homeRegions]),
    ),
  };
}

function allowedBy(
  regions: readonly string[],
  limits: RegionLists,
): readonly string[] {
  return regions.filter((region) =>
    limits.every((limit) => !limit || limit.includes(region))
  );
}
