import type { TimedEvent } from "@kingcupglade/fakes";
import { checkAssignmentSurvives } from "./promises/assignment_survives.ts";
import { checkAtMostOnce } from "./promises/at_most_once.ts";
import { checkBundleInForce } from "./promises/bundle_in_force.ts";
import { checkColdTarget } from "./promises/cold_target.ts";
import { checkDataCentreOut } from "./promises/data_centre_out.ts";
import { checkHomeRegions } from "./promises/home_regions.ts";
import { checkLeavingTarget } from "./promises/leaving_target.ts";
import { checkNotRunIsTrue } from "./promises/not_run_is_true.ts";
import { checkPlannedStop } from "./promises/planned_stop.ts";
import { checkSingleOwner } from "./promises/single_owner.ts";
import { checkWholeAnswer } from "./promises/whole_answer.ts";
import { PromiseName, resolveCheckOptions } from "./violation.ts";
import type { CheckOptions, PromiseCheck, Violation } from "./violation.ts";

/** The check of each promise. */
export const promiseChecks: Readonly<Record<PromiseName, PromiseCheck>> = {
  [PromiseName.singleOwner]: checkSingleOwner,
  [PromiseName.assignmentSurvives]: checkAssignmentSurvives,
  [PromiseName.coldTarget]: checkColdTarget,
  [PromiseName.dataCentreOut]: checkDataCentreOut,
  [PromiseName.homeRegions]: checkHomeRegions,
  [PromiseName.wholeAnswer]: checkWholeAnswer,
  [PromiseName.notRunIsTrue]: checkNotRunIsTrue,
  [PromiseName.atMostOnce]: checkAtMostOnce,
  [PromiseName.leavingTarget]: checkLeavingTarget,
  [PromiseName.plannedStop]: checkPlannedStop,
  [PromiseName.bundleInForce]: checkBundleInForce,
};

/** Checks a history against every promise; returns what breaks them. */
export function checkHistory(
  events: readonly TimedEvent[],
  options: CheckOptions = {},
): readonly Violation[] {
  const resolved = resolveCheckOptions(options);
  return Object.values(promiseChecks).flatMap((check) =>
    check(events, resolved)
  );
}
