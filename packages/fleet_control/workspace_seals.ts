import { itemId, ItemKind } from "@kingcupglade/items";
import type {
  ItemChange,
  StoredItem,
  StoredItems,
  SubmittedItem,
} from "@kingcupglade/items";
import type { Logger } from "@kingcupglade/telemetry";
import { KeyDigest, SealError, SourceSeal } from "@kingcupglade/workspaces";
import type {
  SubmittedWorkspace,
  WorkspaceFieldNames,
} from "./control_wire.ts";

/** Options of {@link WorkspaceSeals}. */
export interface WorkspaceSealsOptions {
  /** Secret that all VMs share. */
  readonly secret: string;
  readonly logger: Logger;
}

/**
 * Turns submitted workspaces into items that hold digests of their keys and a
 * sealed source, and back into what the operator wrote.
 */
export class WorkspaceSeals {
  readonly #digest: KeyDigest;
  readonly #seal: SourceSeal;
  readonly #logger: Logger;

  constructor({ secret, logger }: WorkspaceSealsOptions) {
    this.#digest = new KeyDigest(secret);
    this.#seal = new SourceSeal(secret);
    this.#logger = logger;
  }

  /** Returns a change with submitted workspaces added, without their keys. */
  addWorkspaces(
    change: ItemChange,
    workspaces: readonly SubmittedWorkspace[],
  ): ItemChange {
    if (workspaces.length === 0) return change;
    const items = workspaces.map((each) => this.#sealedItem(each));
    return { ...change, items: [...change.items, ...items] };
  }

  /**
   * Returns items with the sources that operators wrote.
   *
   * @throws {SealError} when a source cannot be opened.
   */
  open(items: readonly StoredItem[]): readonly StoredItem[] {
    return items.map((item) =>
      item.kind === ItemKind.workspace && item.content !== null
        ? { ...item, source: this.#seal.open(item.source) }
        : item
    );
  }

  /**
   * Logs if the source of a workspace cannot be opened: the secret of the fleet
   * has changed, and no key of a caller matches.
   */
  checkSources(items: StoredItems): void {
    const unreadable = [...items.values()].filter((item) => {
      try {
        this.open([item]);
        return false;
      } catch (failure) {
        if (failure instanceof SealError) return true;
        throw failure;
      }
    });
    if (unreadable.length === 0) return;
    this.#logger.error("workspace-sources-unreadable", {
      workspaces: unreadable.length,
      first: unreadable[0]!.name,
      reason: "the secret of the fleet has changed, so that no key matches",
    });
  }

  #sealedItem(workspace: SubmittedWorkspace): SubmittedItem {
    const { version, name, keys, source } = workspace;
    const { priority, ratePerSecond, burst, homeRegions } = workspace;
    return {
      version,
      content: {
        kind: ItemKind.workspace,
        name,
        keyDigests: keys.map((key) => this.#digest.ofText(key)),
        priority,
        ratePerSecond,
        burst,
        homeRegions,
      },
      source: this.#seal.seal(source),
    };
  }
}

/**
 * Returns a change with submitted workspaces added by name and version alone, for
 * the log of a VM that does not carry it out.
 */
export function nameWorkspaces(
  change: ItemChange,
  workspaces: readonly SubmittedWorkspace[],
): ItemChange {
  const items = workspaces.map(({ name, version }): SubmittedItem => ({
    version,
    content: {
      kind: ItemKind.workspace,
      name,
      keyDigests: [],
      priority: null,
      ratePerSecond: 0,
      burst: 0,
      homeRegions: [],
    },
    source: "",
  }));
  return { ...change, items: [...change.items, ...items] };
}

/** Returns a fault for each region of a workspace that the fleet does not have. */
export function findUnknownRegions(
  workspaces: readonly SubmittedWorkspace[],
  { stored, regions, fields }: {
    readonly stored: StoredItems;
    readonly regions: ReadonlySet<string>;
    readonly fields: WorkspaceFieldNames;
  },
): readonly string[] {
  return workspaces.filter(({ name, version }) =>
    version >
      (stored.get(itemId({ kind: ItemKind.workspace, name }))?.version ??
        -Infinity)
  ).flatMap(({ name, homeRegions }) =>
    homeRegions.filter((each) => !regions.has(each)).map((region) =>
      `workspace "${name}": ${fields.homeRegions}: the fleet has no region "${region}"`
    )
  );
}
