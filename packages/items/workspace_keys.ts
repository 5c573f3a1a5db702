import { ItemKind } from "./types.ts";
import type { StoredItems, Workspace } from "./types.ts";

/** A digest of a key is one of 256 bits, as hexadecimal digits. */
const digestPattern = /^[0-9a-f]{64}$/;

/** Returns the faults of the list of keys of one workspace. */
export function findKeyListFaults(
  { keyDigests }: Workspace,
): readonly string[] {
  if (keyDigests.length === 0) return ["has an empty list of keys"];
  return keyDigests.flatMap((digest, at) =>
    !digestPattern.test(digest)
      ? [`has no digest for key ${at + 1} of its keys`]
      : keyDigests.indexOf(digest) < at
      ? [`has the same key twice in its keys, as key ${at + 1} again`]
      : []
  );
}

/**
 * Returns a fault for each key that a workspace of a change has in common with
 * another workspace.
 *
 * @param items The items with the change applied.
 * @param changed Workspaces of the change that are in force.
 * @param field Name of the list of keys in texts of faults.
 */
export function findSharedKeys(
  items: StoredItems,
  changed: readonly Workspace[],
  field: string,
): readonly string[] {
  if (changed.length === 0) return [];
  const names = new Map<string, string[]>();
  for (const { content } of items.values()) {
    if (content?.kind !== ItemKind.workspace) continue;
    for (const digest of content.keyDigests) {
      names.set(digest, [...names.get(digest) ?? [], content.name]);
    }
  }
  return changed.flatMap(({ name, keyDigests }) =>
    keyDigests.flatMap((digest, at) => {
      const other = names.get(digest)?.find((each) => each !== name);
      return other === undefined ? [] : [
        `workspace "${name}": ${field}.${at}: is a key of workspace "${other}" as well`,
      ];
    })
  );
}
