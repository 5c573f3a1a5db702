import { ItemKind } from "@kingcupglade/items";
import type { StoredItem } from "@kingcupglade/items";

/** What the leader knows of a gateway's table of keys. */
export interface GatewayKeys {
  readonly name: string;
  /** Log entry up to which its table goes, as its last watch request said. */
  readonly index: number;
  /**
   * Latest time at which a lease of the gateway may end, on the leader's elapsed
   * clock.
   */
  readonly leaseEndsAt: number;
}

/**
 * Returns the gateways whose confirmation of a change that revokes keys is
 * awaited: their tables may lack it, and their leases may hold.
 */
export function unconfirmedGateways(
  gateways: readonly GatewayKeys[],
  { index, now }: { readonly index: number; readonly now: number },
): readonly string[] {
  return gateways.filter((each) => each.index < index && each.leaseEndsAt > now)
    .map(({ name }) => name);
}

/** Returns the digests of keys that no longer belong to their workspace. */
export function revokedDigests(
  before: Iterable<StoredItem>,
  after: Iterable<StoredItem>,
): readonly string[] {
  const owners = ownersOf(after);
  return [...ownersOf(before)].filter(([digest, owner]) =>
    owners.get(digest) !== owner
  ).map(([digest]) => digest);
}

function ownersOf(items: Iterable<StoredItem>): ReadonlyMap<string, string> {
  const owners = new Map<string, string>();
  for (const { content } of items) {
    if (content?.kind !== ItemKind.workspace) continue;
    for (const digest of content.keyDigests) owners.set(digest, content.name);
  }
  return owners;
}
