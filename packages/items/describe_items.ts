import { itemId } from "./types.ts";
import type { ItemChange, StoredItem, StoredItems } from "./types.ts";

/** Maximum number of items that a text names. */
const maximumNames = 40;

/** Names items with their versions; those that are removed carry a minus. */
export function describeItems(items: readonly StoredItem[]): string {
  return join(
    items,
    ({ content, version, ...item }) =>
      `${itemId(item)}@${content === null ? "-" : ""}${version}`,
  );
}

/**
 * Names the items of a change with their versions. An item that the change left
 * alone is followed by the higher version that is stored.
 */
export function describeChange(
  change: ItemChange,
  stored: StoredItems,
): string {
  const items = [
    ...change.items.map(({ content, version }) => ({
      id: itemId(content),
      version,
      sign: "",
    })),
    ...change.removals.map((each) => ({
      id: itemId(each),
      version: each.version,
      sign: "-",
    })),
  ];
  return join(items, ({ id, version, sign }) => {
    const current = stored.get(id)?.version ?? version;
    const overtaken = current > version ? `<${current}` : "";
    return `${id}@${sign}${version}${overtaken}`;
  });
}

function join<Item>(
  items: readonly Item[],
  describe: (item: Item) => string,
): string {
  const named = items.slice(0, maximumNames).map(describe);
  const omitted = items.length - named.length;
  return [...named, ...(omitted > 0 ? [`and ${omitted} more`] : [])].join(" ");
}
