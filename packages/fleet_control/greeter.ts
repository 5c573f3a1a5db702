import { decodeValue, encodeValue, Fleet } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import type { ControlReplica } from "./control_replica.ts";
import type { Greeting } from "./greeting.ts";
import { Members } from "./members.ts";
import type { PeerCalls } from "./peer_calls.ts";

/** While no leader is known, everybody is greeted this often. */
export const greetMilliseconds = 300;
/** A known leader is greeted this often. */
const greetLeaderMilliseconds = 1000;
const greetTimeoutMilliseconds = 500;

/** Options of a {@link Greeter}. */
export interface GreeterOptions {
  readonly controlAddress: string;
  readonly peerAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Control addresses by which the others are found. */
  readonly seeds: readonly string[];
  readonly calls: PeerCalls;
  readonly clock: Clock;
}

/** Tells other control VMs of this one, and learns of them. */
export class Greeter {
  readonly members: Members;
  readonly #options: GreeterOptions;
  readonly #replica: () => ControlReplica;
  readonly #leaderAddress: () => string | null;
  #seeds: readonly string[];
  #greetedAt = -Infinity;

  constructor(
    options: GreeterOptions,
    view: {
      readonly replica: () => ControlReplica;
      /** Peer address of the VM that leads, when it is known. */
      readonly leaderAddress: () => string | null;
    },
  ) {
    this.#options = options;
    this.#replica = view.replica;
    this.#leaderAddress = view.leaderAddress;
    this.#seeds = options.seeds;
    this.members = new Members(options.peerAddress);
  }

  /** Takes over other seeds. */
  useSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** What this VM tells of itself now. */
  get greeting(): Greeting {
    const { controlAddress, peerAddress, dataCentre, region, clock } =
      this.#options;
    return {
      replica: this.#replica().id,
      controlAddress,
      peerAddress,
      dataCentre,
      region,
      isMember: this.#replica().running !== undefined,
      founders: this.#replica().founders,
      known: this.members.present(clock.now()).map((each) => each.peerAddress),
    };
  }

  /** Peer addresses of the seeds: their IPs, with this VM's peer port. */
  get seedPeers(): readonly string[] {
    const { peerAddress } = this.#options;
    return this.#seeds.map((seed) => peerAddressOf(seed, peerAddress));
  }

  // A leader learns of the others by their greetings, and tells them of all.
  async greetAll(): Promise<void> {
    const { clock, peerAddress } = this.#options;
    const leader = this.#leaderAddress();
    if (leader === peerAddress) return;
    if (leader !== null) {
      if (clock.now() - this.#greetedAt < greetLeaderMilliseconds) return;
      this.#greetedAt = clock.now();
      return await this.#greet(leader);
    }
    const addresses = new Set([
      ...this.seedPeers,
      ...this.members.addresses(clock.now()),
    ]);
    addresses.delete(peerAddress);
    await Promise.all([...addresses].map((address) => this.#greet(address)));
  }

  async #greet(address: string): Promise<void> {
    const { clock } = this.#options;
    try {
      const { greeting } = await this.#options.calls.client(address, Fleet)
        .greet(
          { greeting: encodeValue(this.greeting) },
          { timeoutMs: greetTimeoutMilliseconds },
        );
      this.members.note(decodeValue<Greeting>(greeting), clock.now());
    } catch {
      // Greeted again soon; what follows from its silence is logged there.
    }
  }
}

/** The peer address of a VM known by another port, as ports are the same everywhere. */
export function peerAddressOf(address: string, peerAddress: string): string {
  const host = address.slice(0, address.lastIndexOf(":"));
  return `${host}${peerAddress.slice(peerAddress.lastIndexOf(":"))}`;
}
