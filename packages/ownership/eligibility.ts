import { TargetCondition } from "@kingcupglade/membership";
import type { ControlState, PlacementGroup, TargetRecord } from "./model.ts";

/** Returns whether the bundle in force has the data centre in service. */
export function isDataCentreInService(
  state: Pick<ControlState, "bundle">,
  dataCentre: string,
): boolean {
  return state.bundle?.bundle.dataCentres.some((each) =>
    each.name === dataCentre && each.inService
  ) ?? false;
}

/** Returns whether a target may own ranges of a group. */
export function isEligibleOwner(
  state: Pick<ControlState, "bundle">,
  group: Pick<PlacementGroup, "service" | "homeRegions">,
  target: TargetRecord,
): boolean {
  return target.service === group.service &&
    (target.condition === TargetCondition.cold ||
      target.condition === TargetCondition.serving) &&
    group.homeRegions.includes(target.region) &&
    isDataCentreInService(state, target.dataCentre);
}
