import type { Route } from "@kingcupglade/items";
import type { KeyIndex } from "./key_index.ts";
import { routeForWorkspace } from "./workspace_route.ts";

/** Why a request is not served because of its key. */
export const KeyFault = {
  /** The request has no key that can be read. */
  noKey: "no-key",
  /** The key belongs to no workspace, or to another one than before. */
  unknownKey: "unknown-key",
  /** The table of keys is too old to tell that a key is unknown. */
  oldTable: "old-key-table",
  /** The gateway may not rely on its table of keys. */
  noLease: "no-key-lease",
  /** The route and the workspace have no home region in common. */
  noRegion: "no-common-region",
} as const;
export type KeyFault = typeof KeyFault[keyof typeof KeyFault];

/** What a decision on a key depends on besides the request. */
export interface KeyKnowledge {
  readonly keys: KeyIndex;
  /** Whether the gateway may rely on its table of keys. */
  readonly hasLease: boolean;
  /** Whether the table is recent enough to tell that a key is unknown. */
  readonly isRecent: boolean;
}

/** Result of {@link decideOnKey}. */
export type KeyDecision =
  | {
    readonly kind: "accepted";
    /** The route, with what the workspace says applied. */
    readonly route: Route;
    /** Name of the workspace; undefined for requests that need no key. */
    readonly workspace?: string;
  }
  | {
    readonly kind: "refused";
    readonly fault: KeyFault;
    /** Name of the workspace, if the key belongs to one. */
    readonly workspace?: string;
  };

/**
 * Decides whether a request is served by the digest of its key, which is
 * undefined if it has none.
 */
export function decideOnKey(
  { route, keyDigest }: {
    readonly route: Route;
    readonly keyDigest: string | undefined;
  },
  knowledge: KeyKnowledge,
): KeyDecision {
  const { keys, hasLease, isRecent } = knowledge;
  if (!keys.areKeysRequired || route.isPublic === true) {
    return { kind: "accepted", route };
  }
  const refusal = (fault: KeyFault): KeyDecision => ({
    kind: "refused",
    fault: isRecent ? fault : KeyFault.oldTable,
  });
  if (keyDigest === undefined) return refusal(KeyFault.noKey);
  if (!hasLease) return { kind: "refused", fault: KeyFault.noLease };
  const workspace = keys.workspaceOf(keyDigest);
  if (!workspace) return refusal(KeyFault.unknownKey);
  const { name } = workspace;
  const found = routeForWorkspace(route, workspace);
  return found.kind === "noRegion"
    ? { kind: "refused", fault: KeyFault.noRegion, workspace: name }
    : { kind: "accepted", route: found.route, workspace: name };
}

/**
 * Checks again, before a request is sent, that its key belongs to its workspace;
 * returns what speaks against it.
 */
export function recheckKey(
  { name, keyDigest }: { readonly name: string; readonly keyDigest: string },
  { keys, hasLease, isRecent }: KeyKnowledge,
): KeyFault | undefined {
  if (!hasLease) return KeyFault.noLease;
  if (keys.workspaceOf(keyDigest)?.name === name) return undefined;
  return isRecent ? KeyFault.unknownKey : KeyFault.oldTable;
}
