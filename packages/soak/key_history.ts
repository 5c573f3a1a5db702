/** A change of a workspace's keys that an operator sent. */
export interface KeyChange {
  readonly workspace: string;
  /** All keys that the workspace has from this change on. */
  readonly keys: readonly string[];
  readonly sentAt: number;
  /** When it was acknowledged; undefined if it was not. */
  acknowledgedAt?: number;
}

/**
 * The changes of keys that an operator sent, in order. A key belongs to one
 * workspace, and one that was removed is not added again.
 */
export class KeyHistory {
  readonly #changes = new Map<string, KeyChange[]>();
  readonly #holders = new Map<string, string>();

  recordChange(change: KeyChange): void {
    const { workspace, keys } = change;
    const changes = this.#changes.get(workspace) ?? [];
    this.#changes.set(workspace, changes);
    changes.push(change);
    for (const key of keys) this.#holders.set(key, workspace);
  }

  /** Names of all workspaces. */
  get workspaces(): readonly string[] {
    return [...this.#changes.keys()];
  }

  /** Keys of a workspace after the last change that was sent. */
  keysOf(workspace: string): readonly string[] {
    return this.#changes.get(workspace)?.at(-1)?.keys ?? [];
  }

  /** Keys that a workspace had before, the latest one last. */
  removedKeysOf(workspace: string): readonly string[] {
    const changes = this.#changes.get(workspace) ?? [];
    const current = new Set(this.keysOf(workspace));
    return [...new Set(changes.flatMap(({ keys }) => keys))]
      .filter((key) => !current.has(key));
  }

  /** Returns the workspace that has or had a key; undefined if none ever did. */
  holderOf(key: string): string | undefined {
    return this.#holders.get(key);
  }

  /** When a change with the key was first acknowledged; Infinity if never. */
  addedAt(key: string): number {
    return firstAcknowledgement(
      this.#changesOf(key).filter(({ keys }) => keys.includes(key)),
    );
  }

  /** When a change that removes the key was first sent; Infinity if never. */
  removalSentAt(key: string): number {
    return this.#changesWithout(key)[0]?.sentAt ?? Infinity;
  }

  /** When a change that removes the key was acknowledged; Infinity if never. */
  revokedAt(key: string): number {
    return firstAcknowledgement(this.#changesWithout(key));
  }

  #changesOf(key: string): readonly KeyChange[] {
    return this.#changes.get(this.holderOf(key) ?? "") ?? [];
  }

  #changesWithout(key: string): readonly KeyChange[] {
    const changes = this.#changesOf(key);
    const last = changes.findLastIndex(({ keys }) => keys.includes(key));
    return changes.slice(last + 1);
  }
}

function firstAcknowledgement(changes: readonly KeyChange[]): number {
  return Math.min(
    ...changes.map(({ acknowledgedAt = Infinity }) => acknowledgedAt),
  );
}
