import { checkContent } from "./check_content.ts";
import { itemId, ItemKind } from "./types.ts";
import { findSharedKeys } from "./workspace_keys.ts";
import type {
  ItemChange,
  Route,
  StoredItem,
  StoredItems,
  SubmittedItem,
} from "./types.ts";

/** Result of {@link applyChange}. */
export type ChangeResult =
  | { readonly kind: "applied"; readonly items: StoredItems }
  | { readonly kind: "refused"; readonly faults: readonly string[] };

/**
 * Applies a change to the stored items, or refuses it as a whole. For each item
 * the highest version wins. An equal or lower version is ignored, and is
 * therefore not validated against the services that exist now.
 *
 * @param changedAt Index of the log entry that contains the change.
 * @param keysField Name of the list of keys in texts of faults.
 */
export function applyChange(
  current: StoredItems,
  change: ItemChange,
  changedAt: number,
  keysField = "keys",
): ChangeResult {
  const items = new Map(current);
  const accepted: SubmittedItem[] = [];
  for (const submitted of change.items) {
    if (!isNewer(items, submitted.content, submitted.version)) continue;
    accepted.push(submitted);
    items.set(itemId(submitted.content), {
      kind: submitted.content.kind,
      name: submitted.content.name,
      version: submitted.version,
      content: submitted.content,
      source: submitted.source,
      changedAt,
    });
  }
  for (const removal of change.removals) {
    if (!isNewer(items, removal, removal.version)) continue;
    items.set(itemId(removal), {
      ...removal,
      content: null,
      source: "",
      changedAt,
    });
  }
  const faults = [
    ...change.items.flatMap(({ content }) => checkContent(content)),
    ...checkServiceReferences(items, accepted),
    ...checkRemovals(items, change),
    ...findSharedKeys(
      items,
      accepted.flatMap(({ content }) =>
        content.kind === ItemKind.workspace &&
          items.get(itemId(content))?.content === content
          ? [content]
          : []
      ),
      keysField,
    ),
  ];
  return faults.length > 0
    ? { kind: "refused", faults }
    : { kind: "applied", items };
}

function isNewer(
  items: StoredItems,
  item: Pick<StoredItem, "kind" | "name">,
  version: number,
): boolean {
  return version > (items.get(itemId(item))?.version ?? -Infinity);
}

function checkServiceReferences(
  items: StoredItems,
  accepted: readonly SubmittedItem[],
): readonly string[] {
  return accepted.flatMap(({ content }) =>
    content.kind === ItemKind.route
      ? content.parts.filter((part) => !hasService(items, part.service)).map((
        { service },
      ) => `route "${content.name}" refers to the unknown service "${service}"`)
      : []
  );
}

function checkRemovals(
  items: StoredItems,
  change: ItemChange,
): readonly string[] {
  const removedServices = change.removals.filter((each) =>
    each.kind === ItemKind.service && !hasService(items, each.name)
  );
  if (removedServices.length === 0) return [];
  const names = new Set(removedServices.map(({ name }) => name));
  return routesOf(items).flatMap((route) =>
    route.parts.filter(({ service }) => names.has(service)).map(({ service }) =>
      `service "${service}" is still used by route "${route.name}"`
    )
  );
}

function hasService(items: StoredItems, name: string): boolean {
  const stored = items.get(itemId({ kind: ItemKind.service, name }));
  return stored !== undefined && stored.content !== null;
}

function routesOf(items: StoredItems): readonly Route[] {
  return [...items.values()].flatMap(({ content }) =>
    content?.kind === ItemKind.route ? [content] : []
  );
}
