/** A range that a target may serve, in the form pushed to the target. */
export interface Grant {
  readonly group: string;
  readonly start: number;
  readonly end: number;
  /** Fencing epoch that requests for the range carry. */
  readonly epoch: number;
}

const signatures = new WeakMap<readonly Grant[], string>();

/**
 * Returns a string that identifies a set of grants, so that only changed grants
 * are pushed to targets.
 */
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
