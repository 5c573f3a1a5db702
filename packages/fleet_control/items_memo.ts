import { ItemKind } from "@kingcupglade/items";
import type { StoredItems } from "@kingcupglade/items";

/** A value that depends on the items alone, computed once for each change. */
export class ItemsMemo<Value> {
  readonly #compute: (items: StoredItems) => Value;
  #latest: { readonly items: StoredItems; readonly value: Value } | undefined;

  constructor(compute: (items: StoredItems) => Value) {
    this.#compute = compute;
  }

  of(items: StoredItems): Value {
    if (this.#latest?.items !== items) {
      this.#latest = { items, value: this.#compute(items) };
    }
    return this.#latest.value;
  }
}

/** Whether a workspace exists or has existed. */
export function hasWorkspaces(items: StoredItems): boolean {
  return [...items.values()].some(({ kind }) => kind === ItemKind.workspace);
}

/** Whether a workspace has a limit. */
export function hasLimits(items: StoredItems): boolean {
  return [...items.values()].some(({ content }) =>
    content?.kind === ItemKind.workspace && content.ratePerSecond > 0
  );
}
