import type { TargetRecord } from "@kingcupglade/ownership";

/** Where an attempt goes, and what marks it. */
export interface Destination {
  readonly target: TargetRecord;
  /** Headers that tell the target what the request is for. */
  readonly headers: Readonly<Record<string, string>>;
  /** Notes that the attempt begins; the function returned notes its end. */
  readonly begin: () => () => void;
  /** Whether the attempt may still be sent there. */
  readonly isCurrent: () => boolean;
}
