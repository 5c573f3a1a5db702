import { itemId, ItemKind } from "./types.ts";
import type { ItemChange, StoredItems } from "./types.ts";

/**
 * Returns a fault for each route of a change that names a service which has
 * never existed. Applying a change ignores outdated routes, whose services may
 * have been removed since; this tells those apart that were always invalid.
 */
export function findNeverKnownServices(
  items: StoredItems,
  change: ItemChange,
): readonly string[] {
  const added = new Set(
    change.items.map(({ content }) => itemId(content)),
  );
  return change.items.flatMap(({ content }) => {
    if (content.kind !== ItemKind.route) return [];
    return content.parts.map(({ service }) => service).filter((service) => {
      const id = itemId({ kind: ItemKind.service, name: service });
      return !items.has(id) && !added.has(id);
    }).map((service) =>
      `route "${content.name}" refers to the unknown service "${service}"`
    );
  });
}
