import { timingSafeEqual } from "node:crypto";
import { ItemKind } from "@kingcupglade/items";
import type { StoredItem, Workspace } from "@kingcupglade/items";

/** Hexadecimal digits by which candidates are found before they are compared. */
const prefixDigits = 16;

interface IndexedKey {
  readonly digest: Buffer;
  readonly workspace: Workspace;
}

/** Finds the workspace of a key by the key's digest. */
export class KeyIndex {
  /** Whether a workspace exists or has existed, so that keys are required. */
  readonly areKeysRequired: boolean;
  /** Whether a workspace has a rate limit. */
  readonly hasLimits: boolean;
  readonly #keys = new Map<string, IndexedKey[]>();
  readonly #workspaces = new Map<string, Workspace>();

  constructor(items: Iterable<StoredItem>) {
    let areKeysRequired = false;
    for (const { kind, content } of items) {
      areKeysRequired ||= kind === ItemKind.workspace;
      if (content?.kind === ItemKind.workspace) this.#add(content);
    }
    this.areKeysRequired = areKeysRequired;
    this.hasLimits = [...this.#workspaces.values()].some((each) =>
      each.ratePerSecond > 0
    );
  }

  /** Number of workspaces that are not removed. */
  get workspaceCount(): number {
    return this.#workspaces.size;
  }

  /** Returns the workspace with a name. */
  workspaceNamed(name: string): Workspace | undefined {
    return this.#workspaces.get(name);
  }

  /**
   * Returns the workspace whose key has a digest. Whole digests are compared in
   * constant time; the prefix, by which they are found, tells nothing of a key,
   * as its sender cannot choose it.
   */
  workspaceOf(digest: string): Workspace | undefined {
    const candidates = this.#keys.get(digest.slice(0, prefixDigits));
    if (!candidates) return undefined;
    const given = Buffer.from(digest, "latin1");
    return candidates.find((each) =>
      each.digest.length === given.length && timingSafeEqual(each.digest, given)
    )?.workspace;
  }

  #add(workspace: Workspace): void {
    this.#workspaces.set(workspace.name, workspace);
    for (const digest of workspace.keyDigests) {
      const prefix = digest.slice(0, prefixDigits);
      const keys = this.#keys.get(prefix) ?? [];
      this.#keys.set(prefix, keys);
      keys.push({ digest: Buffer.from(digest, "latin1"), workspace });
    }
  }
}
