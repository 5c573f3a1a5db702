import { checkContent } from "./check_content.ts";
import { itemId, ItemKind } from "./types.ts";
import type {
  HeldItem,
  HeldItems,
  ItemChange,
  Route,
  SentItem,
} from "./types.ts";

/** What became of a change. */
export type ChangeResult =
  | { readonly kind: "taken"; readonly items: HeldItems }
  | { readonly kind: "refused"; readonly faults: readonly string[] };

/**
 * Takes a change into the held items, or refuses it whole. For each name the
 * highest version stands; an equal or lower one changes nothing, and so is not
 * held against the services that stand today.
 */
export function applyChange(
  held: HeldItems,
  change: ItemChange,
  changedAt: number,
): ChangeResult {
  const items = new Map(held);
  const taken: SentItem[] = [];
  for (const sent of change.items) {
    if (!isNewer(items, sent.content, sent.version)) continue;
    taken.push(sent);
    items.set(itemId(sent.content), {
      kind: sent.content.kind,
      name: sent.content.name,
      version: sent.version,
      content: sent.content,
      source: sent.source,
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
    ...unknownServices(items, taken),
    ...usedRemovals(items, change),
  ];
  return faults.length > 0
    ? { kind: "refused", faults }
    : { kind: "taken", items };
}

function isNewer(
  items: HeldItems,
  item: Pick<HeldItem, "kind" | "name">,
  version: number,
): boolean {
  return version > (items.get(itemId(item))?.version ?? -Infinity);
}

function unknownServices(
  items: HeldItems,
  taken: readonly SentItem[],
): readonly string[] {
  return taken.flatMap(({ content }) =>
    content.kind === ItemKind.route
      ? content.parts.filter((part) => !hasService(items, part.service)).map((
        { service },
      ) => `route "${content.name}" names the unknown service "${service}"`)
      : []
  );
}

function usedRemovals(
  items: HeldItems,
  change: ItemChange,
): readonly string[] {
  const dropped = change.removals.filter((each) =>
    each.kind === ItemKind.service && !hasService(items, each.name)
  );
  if (dropped.length === 0) return [];
  const names = new Set(dropped.map(({ name }) => name));
  return routesOf(items).flatMap((route) =>
    route.parts.filter(({ service }) => names.has(service)).map(({ service }) =>
      `service "${service}" is still named by route "${route.name}"`
    )
  );
}

function hasService(items: HeldItems, name: string): boolean {
  const held = items.get(itemId({ kind: ItemKind.service, name }));
  return held !== undefined && held.content !== null;
}

function routesOf(items: HeldItems): readonly Route[] {
  return [...items.values()].flatMap(({ content }) =>
    content?.kind === ItemKind.route ? [content] : []
  );
}
