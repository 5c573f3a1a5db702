import type { Greeting } from "./greeting.ts";

/** A greeting and when it came. */
export interface HeardGreeting {
  readonly greeting: Greeting;
  /** Local monotonic time. */
  readonly heardAt: number;
}

/** Control VMs that are silent for longer are no longer named to others. */
const presentMilliseconds = 5000;
/** And are no longer greeted after this long. */
const forgottenMilliseconds = 60_000;

/** The control VMs that this one knows. */
export class Members {
  readonly #heard = new Map<string, HeardGreeting>();
  /** Peer addresses that others told of, by when. */
  readonly #told = new Map<string, number>();
  readonly #self: string;

  constructor(selfPeerAddress: string) {
    this.#self = selfPeerAddress;
  }

  /** Takes in a greeting. */
  note(greeting: Greeting, now: number): void {
    if (greeting.peerAddress !== this.#self) {
      this.#heard.set(greeting.peerAddress, { greeting, heardAt: now });
    }
    for (const address of greeting.known) this.#told.set(address, now);
  }

  /** The latest greetings, by peer address. */
  get greetings(): ReadonlyMap<string, Greeting> {
    return new Map(
      [...this.#heard].map(([address, { greeting }]) => [address, greeting]),
    );
  }

  /** The latest greetings and when they came. */
  get heard(): readonly HeardGreeting[] {
    return [...this.#heard.values()];
  }

  /** Those heard lately. */
  present(now: number): readonly Greeting[] {
    return this.heard.filter(({ heardAt }) =>
      now - heardAt < presentMilliseconds
    ).map(({ greeting }) => greeting);
  }

  /** Peer addresses to greet, beside the seeds. */
  addresses(now: number): readonly string[] {
    for (const [address, toldAt] of this.#told) {
      if (now - toldAt > forgottenMilliseconds) this.#told.delete(address);
    }
    const known = new Set([...this.#heard.keys(), ...this.#told.keys()]);
    known.delete(this.#self);
    return [...known].filter((address) =>
      now - (this.#heard.get(address)?.heardAt ?? now) < forgottenMilliseconds
    );
  }
}
