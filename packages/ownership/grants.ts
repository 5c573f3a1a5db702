/** A range that a target may serve, as the target is told. */
export interface Grant {
  readonly group: string;
  readonly start: number;
  readonly end: number;
  /** Fence: requests for the range carry this epoch. */
  readonly epoch: number;
}

/** Identifies a set of grants, so that a target is told only of changes. */
export function grantsSignature(grants: readonly Grant[]): string {
  return grants.map((grant) =>
    `${grant.group}:${grant.start}:${grant.end}:${grant.epoch}`
  ).join(",");
}
