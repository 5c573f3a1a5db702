import type { VmEndpoint } from "@kingcupglade/fleet";
import type { Greeting } from "./greeting.ts";

/** Greeting with the time of its receipt. */
export interface ReceivedGreeting {
  readonly greeting: Greeting;
  /** Local monotonic time in milliseconds. */
  readonly receivedAt: number;
}

/** Control VMs that are silent for this long are not reported to others. */
const presentMilliseconds = 5000;
/** Control VMs that are silent for this long are no longer greeted. */
const forgottenMilliseconds = 60_000;

/** The control VMs that this one knows. */
export class KnownPeers {
  readonly #received = new Map<string, ReceivedGreeting>();
  /** Peer addresses reported by others, and when each was last reported. */
  readonly #reported = new Map<string, number>();
  readonly #self: string;

  constructor(selfPeerAddress: string) {
    this.#self = selfPeerAddress;
  }

  /** Records a greeting. */
  record(greeting: Greeting, now: number): void {
    if (greeting.peerAddress !== this.#self) {
      this.#received.set(greeting.peerAddress, { greeting, receivedAt: now });
    }
    for (const address of greeting.known) this.#reported.set(address, now);
  }

  /** The latest greetings, by peer address. */
  get greetings(): ReadonlyMap<string, Greeting> {
    return new Map(
      [...this.#received].map(([address, { greeting }]) => [address, greeting]),
    );
  }

  /** The latest greetings with the times of their receipt. */
  get received(): readonly ReceivedGreeting[] {
    return [...this.#received.values()];
  }

  /** Returns the greetings received recently. */
  recentGreetings(now: number): readonly Greeting[] {
    return this.received.filter(({ receivedAt }) =>
      now - receivedAt < presentMilliseconds
    ).map(({ greeting }) => greeting);
  }

  /**
   * Returns the control VMs that may take heartbeats, by their control addresses:
   * those that sent a greeting in the given time.
   */
  listeners(now: number, maximumSilence: number): readonly VmEndpoint[] {
    return this.received.filter(({ receivedAt }) =>
      now - receivedAt < maximumSilence
    ).map(({ greeting: { controlAddress, dataCentre } }) => ({
      name: controlAddress,
      address: controlAddress,
      dataCentre,
    }));
  }

  /** Returns the peer addresses to greet in addition to the seeds. */
  addresses(now: number): readonly string[] {
    for (const [address, at] of this.#reported) {
      if (now - at > forgottenMilliseconds) this.#reported.delete(address);
    }
    const known = new Set([
      ...this.#received.keys(),
      ...this.#reported.keys(),
    ]);
    known.delete(this.#self);
    return [...known].filter((address) =>
      now - (this.#received.get(address)?.receivedAt ?? now) <
        forgottenMilliseconds
    );
  }
}
