import type { Greeting } from "./greeting.ts";

/** Next step of a control VM with an unused data folder. */
export type BootstrapStep =
  /** Wait, as not every founding replica is known yet. */
  | { readonly kind: "wait" }
  /** Form or join the first replica set by storing its replicas. */
  | { readonly kind: "store"; readonly founders: readonly string[] }
  /**
   * Start as a standby, which copies the log of a replica set that other VMs
   * form.
   */
  | { readonly kind: "standby" };

/** Input of {@link chooseBootstrapStep}. */
export interface BootstrapContext {
  /** Whether the whole fleet starts for the first time. */
  readonly mayFound: boolean;
  readonly self: Greeting;
  /**
   * Peer addresses of the VMs that form the first replica set, in a fixed
   * order.
   */
  readonly founders: readonly string[];
  /** Latest greetings of other control VMs, by peer address. */
  readonly greetings: ReadonlyMap<string, Greeting>;
}

/**
 * Chooses the next step. Only the first founder forms the set, and only once
 * every founder has reported its replica and none of them belongs to a set, so
 * that no two sets can form.
 */
export function chooseBootstrapStep(context: BootstrapContext): BootstrapStep {
  const { self, founders, greetings } = context;
  if (!context.mayFound || !founders.includes(self.peerAddress)) {
    return { kind: "standby" };
  }
  const others = founders.filter((each) => each !== self.peerAddress)
    .map((each) => greetings.get(each));
  const listing = others.find((each) =>
    each?.founders.includes(self.replica) === true
  );
  if (listing) return { kind: "store", founders: listing.founders };
  if (
    others.some((each) => each?.isMember === true)
  ) return { kind: "standby" };
  if (
    founders[0] !== self.peerAddress ||
    others.some((each) => each === undefined)
  ) return { kind: "wait" };
  return {
    kind: "store",
    founders: [self.replica, ...others.map((each) => each!.replica)],
  };
}
