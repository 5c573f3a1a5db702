import { homeRegions, ServiceKind } from "@kingcupglade/bundle";
import type { Bundle } from "@kingcupglade/bundle";
import type { LeaderView } from "./leader_view.ts";
import { groupId } from "./model.ts";
import type { ControlState, Rehoming } from "./model.ts";
import { maximumDeadlineMilliseconds } from "./release.ts";

/**
 * Returns the tenants whose keys belong to another placement group after a
 * roll. A tenant that the previous bundle did not name is included, because an
 * older bundle may have named it.
 */
export function planRehoming(
  before: Bundle | undefined,
  after: Bundle,
  at: number,
): readonly Rehoming[] {
  if (!before) return [];
  const previousServices = keyedServices(before);
  const previousTenants = new Set(before.tenants.map((each) => each.name));
  return [...keyedServices(after)].flatMap((service): Rehoming[] => {
    const moved = after.tenants.map((each) => each.name).filter((tenant) =>
      !previousServices.has(service) || !previousTenants.has(tenant) ||
      groupIdOf(before, service, tenant) !== groupIdOf(after, service, tenant)
    );
    if (moved.length === 0) return [];
    const tenants = moved.length === after.tenants.length ? null : moved;
    return [{ service, tenants, at }];
  });
}

/**
 * Returns the table version of the latest roll up to which moved tenants can be
 * served by their new group, because no VM routes by an earlier bundle any
 * more. Null when there is none.
 */
export function completedRehomingVersion(
  state: ControlState,
  view: LeaderView,
  settled: number,
): number | null {
  const now = view.now ?? 0;
  const completed = state.rehomings.filter(({ service, at }) => {
    const guardMilliseconds = maximumDeadlineMilliseconds(
      state.bundle?.bundle,
      service,
    );
    return settled >= at &&
      now >= (view.lastVmLossAt ?? -Infinity) + guardMilliseconds;
  });
  return completed.length === 0
    ? null
    : Math.max(...completed.map((each) => each.at));
}

/** Returns the earliest unfinished move of a tenant's keys. */
export function findRehoming(
  rehomings: readonly Rehoming[],
  subject: { readonly service: string; readonly tenant: string },
): Rehoming | undefined {
  return rehomings.find(({ service, tenants }) =>
    service === subject.service &&
    (tenants === null || tenants.includes(subject.tenant))
  );
}

function keyedServices(bundle: Bundle): ReadonlySet<string> {
  return new Set(
    bundle.services.filter((each) => each.kind === ServiceKind.keyed)
      .map((each) => each.name),
  );
}

function groupIdOf(bundle: Bundle, service: string, tenant: string): string {
  return groupId(service, homeRegions(bundle, { service, tenant }));
}
