import { TargetCondition } from "@kingcupglade/membership";
import { RangePhase } from "./model.ts";
import type {
  ControlState,
  PlacementGroup,
  RangeRecord,
  TargetRecord,
} from "./model.ts";

/** Whether operators have the data centre in service. */
export function isDataCentreInService(
  state: Pick<ControlState, "bundle">,
  dataCentre: string,
): boolean {
  return state.bundle?.bundle.dataCentres.some((each) =>
    each.name === dataCentre && each.inService
  ) ?? false;
}

/** Whether a target may own ranges of a group. */
export function isFitOwner(
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

/** Whether a serving range must leave its owner. */
export function mustLeaveOwner(
  state: Pick<ControlState, "bundle" | "targets">,
  group: PlacementGroup,
  range: RangeRecord,
): boolean {
  if (range.phase !== RangePhase.serving || range.owner === null) return false;
  const owner = state.targets.get(range.owner);
  return !owner || owner.boot !== range.ownerBoot ||
    !isFitOwner(state, group, owner);
}
