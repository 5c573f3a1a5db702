/** Bounds above the default, by workspace. */
export type BorrowerBounds = ReadonlyMap<string, number>;

/**
 * The replicated record of the gateways that may hold loans, by
 * {@link borrowerId}.
 */
export type Borrowers = ReadonlyMap<string, BorrowerBounds>;

/** A bound of a borrower on the allowance of a workspace; 0 for the default. */
export type BoundRow = readonly [id: string, workspace: string, bound: number];

/** Change of the {@link Borrowers}. */
export interface BorrowerChange {
  readonly add: readonly string[];
  readonly remove: readonly string[];
  /** @default none */
  readonly bounds?: readonly BoundRow[];
}

/**
 * Share of a total that a gateway may hold without a record of a higher bound.
 * With it, two of 17 gateways that are lost leave three quarters of the total.
 */
const defaultShare = 1 / 8;
const minimumBound = 2;

/**
 * Returns the largest allowance that a borrower may hold of a total. Not rounded:
 * the bounds of a total that was lowered must not fall faster than it did.
 *
 * @param recorded Bound in the record; 0 for none.
 */
export function boundOf(total: number, recorded = 0): number {
  return Math.min(
    total,
    Math.max(minimumBound, total * defaultShare, recorded),
  );
}

/**
 * Returns the bound to record for an allowance, the default doubled until it
 * suffices, so that a rising demand takes few entries; 0 if the default suffices.
 */
export function boundFor(allowance: number, total: number): number {
  let bound = boundOf(total);
  if (allowance <= bound) return 0;
  while (bound < Math.min(allowance, total)) bound *= 2;
  return Math.min(total, Math.floor(bound));
}

/** Returns the name of an incarnation of a gateway as a borrower. */
export function borrowerId(gateway: string, incarnation: string): string {
  return `${gateway}/${incarnation}`;
}

/** Returns the gateway of a {@link borrowerId}. */
export function gatewayOf(id: string): string {
  return id.slice(0, id.lastIndexOf("/"));
}

/**
 * Returns the borrowers after a change. One that is added again keeps its bounds,
 * and what names an unknown one changes nothing.
 */
export function changeBorrowers(
  borrowers: Borrowers,
  { add, remove, bounds = [] }: BorrowerChange,
): Borrowers {
  const changed = new Map(borrowers);
  for (const id of remove) changed.delete(id);
  for (const id of add) changed.set(id, changed.get(id) ?? new Map());
  for (const [id, workspace, bound] of bounds) {
    const before = changed.get(id);
    if (!before) continue;
    const after = new Map(before).set(workspace, bound);
    if (bound === 0) after.delete(workspace);
    changed.set(id, after);
  }
  return changed;
}
