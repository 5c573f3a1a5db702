import type { TimedEvent } from "@kingcupglade/fakes";
import { checkAssignmentDurability } from "./invariants/assignment_durability.ts";
import { checkAtMostOnce } from "./invariants/at_most_once.ts";
import { checkBundleInForce } from "./invariants/bundle_in_force.ts";
import { checkColdTargetLimit } from "./invariants/cold_target_limit.ts";
import { checkDataCentreOutOfService } from "./invariants/data_centre_out_of_service.ts";
import { checkHomeRegions } from "./invariants/home_regions.ts";
import { checkLeavingTarget } from "./invariants/leaving_target.ts";
import { checkTruthfulNotRun } from "./invariants/truthful_not_run.ts";
import { checkPlannedStop } from "./invariants/planned_stop.ts";
import { checkSingleOwner } from "./invariants/single_owner.ts";
import { checkCompleteResponse } from "./invariants/complete_response.ts";
import { InvariantName, resolveCheckOptions } from "./violation.ts";
import type { CheckOptions, InvariantCheck, Violation } from "./violation.ts";

/** The check for each invariant. */
export const invariantChecks: Readonly<Record<InvariantName, InvariantCheck>> =
  {
    [InvariantName.singleOwner]: checkSingleOwner,
    [InvariantName.assignmentDurability]: checkAssignmentDurability,
    [InvariantName.coldTargetLimit]: checkColdTargetLimit,
    [InvariantName.dataCentreOutOfService]: checkDataCentreOutOfService,
    [InvariantName.homeRegions]: checkHomeRegions,
    [InvariantName.completeResponse]: checkCompleteResponse,
    [InvariantName.truthfulNotRun]: checkTruthfulNotRun,
    [InvariantName.atMostOnce]: checkAtMostOnce,
    [InvariantName.leavingTarget]: checkLeavingTarget,
    [InvariantName.plannedStop]: checkPlannedStop,
    [InvariantName.bundleInForce]: checkBundleInForce,
  };

/** Checks a history against all invariants and returns the violations. */
export function checkHistory(
  events: readonly TimedEvent[],
  options: CheckOptions = {},
): readonly Violation[] {
  const resolved = resolveCheckOptions(options);
  return Object.values(invariantChecks).flatMap((check) =>
    check(events, resolved)
  );
}
