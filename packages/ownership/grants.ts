/** A range that a target may serve, as the target is told. */
export interface Grant {
  readonly group: string;
  readonly start: number;
  readonly end: number;
  /** Fence: requests for the range carry this epoch. */
  readonly epoch: number;
}

const signatures = new WeakMap<readonly Grant[], string>();

/** Identifies a set of grants, so that a target is told only of changes. */
export function grantsSignature(grants: readonly Grant[]): string {
  const known = signatures.get(grants);
  if (known !== undefined) return known;
  const signature = formatGrants(grants);
  signatures.set(grants, signature);
  return signature;
}

function formatGrants(grants: readonly Grant[]): string {
  return grants.map((grant) =>
    `${grant.group}:${grant.start}:${grant.end}:${grant.epoch}`
  ).join(",");
}
