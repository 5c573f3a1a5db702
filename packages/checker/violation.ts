import type { TimedEvent } from "@kingcupglade/fakes";

/** Invariants that every history of the system must satisfy. */
export const InvariantName = {
  singleOwner: "a key has one owner at most",
  assignmentDurability: "an acknowledged assignment survives",
  coldTargetLimit: "a cold target gets no more than it bears",
  dataCentreOutOfService: "a data centre taken out gets no new work",
  homeRegions: "a request stays in its home regions",
  completeResponse: "a caller gets the whole answer to its own request",
  truthfulNotRun: "a refusal that says not-run is true",
  atMostOnce: "a request that is not idempotent runs at most once",
  leavingTarget: "a leaving target gets no new work",
  plannedStop: "a planned stop cuts no request",
  bundleInForce: "an accepted bundle is in force and never reverts",
} as const;
export type InvariantName = typeof InvariantName[keyof typeof InvariantName];

/** A violated invariant with the events that prove the violation. */
export interface Violation {
  readonly invariant: InvariantName;
  readonly message: string;
  readonly events: readonly TimedEvent[];
}

/** Grace periods of the invariants that hold only after a propagation delay. */
export interface CheckOptions {
  /**
   * Time in milliseconds within which a change reaches every process. Periods
   * in which the whole run was suspended are added to it.
   * @default 4000
   */
  readonly graceMilliseconds?: number;
  /** The same for a target that becomes cold while running. @default 1000 */
  readonly coldGraceMilliseconds?: number;
}

/** {@link CheckOptions} with all defaults applied. */
export type ResolvedCheckOptions = Required<CheckOptions>;

/** Applies the defaults of {@link CheckOptions}. */
export function resolveCheckOptions(
  options: CheckOptions = {},
): ResolvedCheckOptions {
  return {
    graceMilliseconds: options.graceMilliseconds ?? 4000,
    coldGraceMilliseconds: options.coldGraceMilliseconds ?? 1000,
  };
}

/** Returns the violations of one invariant, earliest first. */
export type InvariantCheck = (
  events: readonly TimedEvent[],
  options: ResolvedCheckOptions,
) => readonly Violation[];

/** Returns the first violation of each violated invariant. */
export function selectFirstViolations(
  violations: readonly Violation[],
): readonly Violation[] {
  return Object.values(InvariantName).flatMap((invariant) =>
    violations.find((each) => each.invariant === invariant) ?? []
  );
}

/** Formats violations as text: the invariant, the message and the events. */
export function formatViolations(violations: readonly Violation[]): string {
  return violations.map((violation) =>
    [
      `${violation.invariant}: ${violation.message}`,
      ...violation.events.map((event) => `    ${formatEvent(event)}`),
    ].join("\n")
  ).join("\n");
}

function formatEvent(event: TimedEvent): string {
  const { at, kind, ...fields } = event;
  return `${at.toFixed(1)} ms ${kind} ${JSON.stringify(fields)}`;
}
