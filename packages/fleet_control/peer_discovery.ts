import { encodeValue, Fleet } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import type { ControlReplica } from "./control_replica.ts";
import { ownFeatures } from "./feature.ts";
import { decodeGreeting } from "./greeting.ts";
import type { Greeting } from "./greeting.ts";
import { KnownPeers } from "./known_peers.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { PeerClocks } from "./peer_clocks.ts";
import type { PeerTime } from "./received_call.ts";

/** Interval at which all known peers are greeted while no leader is known. */
export const greetIntervalMilliseconds = 300;
/** Interval at which a known leader is greeted. */
const greetLeaderMilliseconds = 1000;
const greetTimeoutMilliseconds = 500;

/** Options of a {@link PeerDiscovery}. */
export interface PeerDiscoveryOptions {
  readonly controlAddress: string;
  readonly peerAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Control addresses used to discover the other control VMs. */
  readonly seeds: readonly string[];
  readonly clients: PeerClients;
  readonly peerClocks: PeerClocks;
  readonly clock: Clock;
  /** Returns the time on the clock of this process, as other VMs know it. */
  readonly ownTime: () => PeerTime;
}

/** Exchanges greetings with the other control VMs to discover them. */
export class PeerDiscovery {
  readonly peers: KnownPeers;
  readonly #options: PeerDiscoveryOptions;
  readonly #replica: () => ControlReplica;
  readonly #leaderAddress: () => string | null;
  #seeds: readonly string[];
  #greetedAt = -Infinity;

  constructor(
    options: PeerDiscoveryOptions,
    state: {
      readonly replica: () => ControlReplica;
      /** Peer address of the leader; null if unknown. */
      readonly leaderAddress: () => string | null;
    },
  ) {
    this.#options = options;
    this.#replica = state.replica;
    this.#leaderAddress = state.leaderAddress;
    this.#seeds = options.seeds;
    this.peers = new KnownPeers(options.peerAddress);
  }

  /** Replaces the seeds. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Greeting that describes the present state of this VM. */
  get greeting(): Greeting {
    const { controlAddress, peerAddress, dataCentre, region, clock } =
      this.#options;
    return {
      replica: this.#replica().id,
      controlAddress,
      peerAddress,
      dataCentre,
      region,
      isMember: this.#replica().hasStarted,
      founders: this.#replica().founders,
      known: this.peers.recentGreetings(clock.now()).map((each) =>
        each.peerAddress
      ),
      time: this.#options.ownTime(),
      features: ownFeatures,
    };
  }

  /** Peer addresses of the seeds: their IPs, with this VM's peer port. */
  get seedPeerAddresses(): readonly string[] {
    const { peerAddress } = this.#options;
    return this.#seeds.map((seed) => peerAddressOf(seed, peerAddress));
  }

  /**
   * Greets the leader, or every known peer while no leader is known. A leader
   * sends no greetings: it learns of the other VMs from their greetings, and
   * lists all of them in its responses.
   */
  async greetPeers(): Promise<void> {
    const { clock, peerAddress } = this.#options;
    const leader = this.#leaderAddress();
    if (leader === peerAddress) return;
    if (leader !== null) {
      if (clock.now() - this.#greetedAt < greetLeaderMilliseconds) return;
      this.#greetedAt = clock.now();
      return await this.#greet(leader);
    }
    const addresses = new Set([
      ...this.seedPeerAddresses,
      ...this.peers.addresses(clock.now()),
    ]);
    addresses.delete(peerAddress);
    await Promise.all([...addresses].map((address) => this.#greet(address)));
  }

  async #greet(address: string): Promise<void> {
    const { clock, peerClocks } = this.#options;
    const askedAt = clock.now();
    try {
      const { greeting } = await this.#options.clients.client(address, Fleet)
        .greet(
          { greeting: encodeValue(this.greeting) },
          { timeoutMs: greetTimeoutMilliseconds },
        );
      const answer = decodeGreeting(greeting);
      const receivedAt = clock.now();
      this.peers.record(answer, receivedAt);
      const { time } = answer;
      if (time) peerClocks.record(address, { time, askedAt, receivedAt });
    } catch {
      // The peer is greeted again soon; the consequences of its silence are
      // logged where they take effect.
    }
  }
}

/**
 * Returns the peer address of a VM from another of its addresses, as all VMs
 * use the same ports.
 */
export function peerAddressOf(address: string, peerAddress: string): string {
  const host = address.slice(0, address.lastIndexOf(":"));
  return `${host}${peerAddress.slice(peerAddress.lastIndexOf(":"))}`;
}
