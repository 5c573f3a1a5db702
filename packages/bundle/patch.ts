import { canonicalText } from "./signature.ts";

/**
 * A part of a list: `count` entries of the previous list, from index `from`, or
 * new entries.
 */
type ListPart =
  | { readonly from: number; readonly count: number }
  | { readonly entries: readonly unknown[] };

/** How one field of a document changes. */
type FieldChange =
  | { readonly list: readonly ListPart[] }
  | { readonly value: unknown };

/** The changes that turn one document into another. */
export interface DocumentPatch {
  readonly removed: readonly string[];
  readonly changed: Readonly<Record<string, FieldChange>>;
}

type Fields = Readonly<Record<string, unknown>>;

/** Returns the patch that turns `before` into `after`. */
export function diffDocuments(before: unknown, after: unknown): DocumentPatch {
  const from = fieldsOf(before);
  const to = fieldsOf(after);
  const changed: Record<string, FieldChange> = {};
  for (const [name, value] of Object.entries(to)) {
    const change = diffField(from[name], value);
    if (change) changed[name] = change;
  }
  return {
    removed: Object.keys(from).filter((name) => !(name in to)),
    changed,
  };
}

/** Returns the document after a patch. The caller must verify its digest. */
export function patchDocument(
  before: unknown,
  patch: DocumentPatch,
): unknown {
  const document: Record<string, unknown> = { ...fieldsOf(before) };
  for (const name of patch.removed) delete document[name];
  for (const [name, change] of Object.entries(patch.changed)) {
    document[name] = "list" in change
      ? patchList(document[name], change.list)
      : change.value;
  }
  return document;
}

function diffField(before: unknown, after: unknown): FieldChange | null {
  if (!Array.isArray(before) || !Array.isArray(after)) {
    return canonicalText(before) === canonicalText(after)
      ? null
      : { value: after };
  }
  const list = diffLists(before, after);
  const firstPart = list[0];
  const isSame = before.length === after.length &&
    (list.length === 0 ||
      (list.length === 1 && firstPart !== undefined && "from" in firstPart &&
        firstPart.from === 0));
  return isSame ? null : { list };
}

function diffLists(
  before: readonly unknown[],
  after: readonly unknown[],
): readonly ListPart[] {
  const indexes = new Map(
    before.map((entry, index) => [canonicalText(entry), index]),
  );
  const parts: { from?: number; count: number; entries: unknown[] }[] = [];
  for (const entry of after) {
    const from = indexes.get(canonicalText(entry));
    const last = parts.at(-1);
    if (from === undefined) {
      if (last && last.from === undefined) last.entries.push(entry);
      else parts.push({ count: 0, entries: [entry] });
    } else if (last?.from !== undefined && last.from + last.count === from) {
      last.count += 1;
    } else parts.push({ from, count: 1, entries: [] });
  }
  return parts.map(({ from, count, entries }) =>
    from === undefined ? { entries } : { from, count }
  );
}

function patchList(
  before: unknown,
  parts: readonly ListPart[],
): readonly unknown[] {
  const list = Array.isArray(before) ? before as readonly unknown[] : [];
  return parts.flatMap((part) =>
    "entries" in part
      ? part.entries
      : list.slice(part.from, part.from + part.count)
  );
}

function fieldsOf(document: unknown): Fields {
  return typeof document === "object" && document !== null
    ? document as Fields
    : {};
}
