import { setTimeout as pause } from "node:timers/promises";
import { quorumContactAt } from "@kingcupglade/consensus";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import { confirmedAge, unconfirmedGateways } from "@kingcupglade/workspaces";
import type { ElapsedClock, GatewayKeys } from "@kingcupglade/workspaces";
import type { FleetReplica } from "./leader_session.ts";
import type { Watch, WatchOwnPart } from "./watch.ts";

/**
 * Longest wait for gateways before a revocation is acknowledged; operators give
 * up after 4 s, and a relay to the leader may come before it.
 */
const maximumWaitMilliseconds = 1000;
/** Gateways confirm by watch requests, which take a round trip of some ms. */
const checkIntervalMilliseconds = 10;

/** Options of {@link KeyConfirmations}. */
export interface KeyConfirmationsOptions {
  readonly replica: Pick<FleetReplica, "consensus">;
  readonly clock: Clock;
  /** Counts `clock` plus the time for which this VM was suspended. */
  readonly elapsedClock: ElapsedClock;
  /** Returns the names of the gateways in contact. */
  readonly activeGateways: () => readonly string[];
  /**
   * Time from the acknowledgement of a revocation until no request with the key
   * reaches a target; undefined if there is no bound.
   */
  readonly revokeMilliseconds?: number;
  readonly logger: Logger;
}

/**
 * Tells gateways how recently this leader was confirmed, and knows which of them
 * have confirmed a change that revokes keys.
 */
export class KeyConfirmations {
  readonly #options: KeyConfirmationsOptions;
  readonly #gateways = new Map<string, GatewayKeys>();

  constructor(options: KeyConfirmationsOptions) {
    this.#options = options;
  }

  /** Time at which a watch request is received, for {@link ownPart}. */
  now(): number {
    return this.#options.elapsedClock.now();
  }

  /**
   * Records the table that a gateway says it has. Whatever lease it has, also
   * from an earlier leader, began before it sent the request; so will the one of
   * the response.
   */
  recordWatch({ gateway: name, position }: Watch, receivedAt: number): void {
    const { revokeMilliseconds = 0 } = this.#options;
    this.#gateways.set(name, {
      name,
      index: position.index,
      leaseEndsAt: receivedAt + revokeMilliseconds,
    });
  }

  /**
   * Returns the part of a response for one gateway. Called when the table of the
   * response is read, as a confirmation after that would cover changes that the
   * table lacks.
   */
  ownPart(receivedAt: number): WatchOwnPart {
    const { clock, elapsedClock, replica } = this.#options;
    const contactAt = quorumContactAt(replica.consensus, clock.now());
    const age = confirmedAge({
      confirmedAt: Number.isFinite(contactAt)
        ? elapsedClock.fromMonotonic(contactAt)
        : -Infinity,
      receivedAt,
    });
    return age === undefined ? {} : { confirmedAgeMilliseconds: age };
  }

  /**
   * Waits until no gateway in contact uses a table without a log entry that
   * revokes keys, for a second at most. Without a bound on revocations it does
   * not wait.
   */
  async waitForRevocation(
    index: number,
    revoked: { readonly keys: number },
  ): Promise<void> {
    const { clock, logger, revokeMilliseconds } = this.#options;
    if (revokeMilliseconds === undefined) return;
    const startedAt = clock.now();
    let unconfirmed = this.#unconfirmed(index);
    while (
      unconfirmed.length > 0 &&
      clock.now() - startedAt < maximumWaitMilliseconds
    ) {
      await pause(checkIntervalMilliseconds);
      unconfirmed = this.#unconfirmed(index);
    }
    logger.info("keys-revoked", {
      index,
      keys: revoked.keys,
      waitedMilliseconds: Math.round(clock.now() - startedAt),
      unconfirmed: unconfirmed.join(","),
    });
  }

  #unconfirmed(index: number): readonly string[] {
    const { activeGateways, elapsedClock } = this.#options;
    const active = new Set(activeGateways());
    for (const name of this.#gateways.keys()) {
      if (!active.has(name)) this.#gateways.delete(name);
    }
    return unconfirmedGateways([...this.#gateways.values()], {
      index,
      now: elapsedClock.now(),
    });
  }
}
