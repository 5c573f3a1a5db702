import type { TargetRecord } from "@kingcupglade/ownership";

/** Target of an attempt, and the headers that are added to the request. */
export interface Destination {
  readonly target: TargetRecord;
  /** Headers that identify the range to the target; empty without a key. */
  readonly headers: Readonly<Record<string, string>>;
  /**
   * Records the start of the attempt; the returned function records its end.
   */
  readonly begin: () => () => void;
  /** Whether the attempt may still be sent to the target. */
  readonly isCurrent: () => boolean;
}
