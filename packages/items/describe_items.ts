import { itemId } from "./types.ts";
import type { ItemChange, StoredItem, StoredItems } from "./types.ts";

/** Maximum length of the names in a text. */
const maximumCharacters = 4000;

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
  let text = "";
  for (const [at, item] of items.entries()) {
    const next = `${at > 0 ? " " : ""}${describe(item)}`;
    if (text.length + next.length > maximumCharacters) {
      return `${text} and ${items.length - at} more`.trimStart();
    }
    text += next;
  }
  return text;
}
