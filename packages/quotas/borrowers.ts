/** Bounds above the default, by workspace. */
export type BorrowerBounds = ReadonlyMap<string, number>;

/**
 * The replicated record of the gateways that may hold loans, by
 * {@link borrowerId}.
 */
export type Borrowers = ReadonlyMap<string, BorrowerBounds>;

/** Change of the {@link Borrowers}. */
export interface BorrowerChange {
  readonly add: readonly string[];
  readonly remove: readonly string[];
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
 * and one that is removed and unknown changes nothing.
 */
export function changeBorrowers(
  borrowers: Borrowers,
  { add, remove }: BorrowerChange,
): Borrowers {
  const changed = new Map(borrowers);
  for (const id of remove) changed.delete(id);
  for (const id of add) changed.set(id, changed.get(id) ?? new Map());
  return changed;
}
