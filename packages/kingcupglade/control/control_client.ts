import type { Client } from "@connectrpc/connect";
import { Control } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import { ControlUnavailableError } from "./errors.ts";
import type { PeerDirectory } from "./peers.ts";

const retryPauseMilliseconds = 50;

interface Redirectable {
  readonly redirect?: { readonly leader: string } | undefined;
}

/** Finds the control leader and calls it. */
export class ControlClient {
  readonly #peers: PeerDirectory;
  readonly #candidates: readonly string[];
  readonly #clock: Clock;
  #leader: string | undefined;
  #next = 0;

  constructor(options: {
    readonly peers: PeerDirectory;
    /** VMs that may hold a control replica. */
    readonly candidates: readonly string[];
    readonly clock: Clock;
  }) {
    this.#peers = options.peers;
    this.#candidates = options.candidates;
    this.#clock = options.clock;
  }

  /** The VM that answered as leader last. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /**
   * Makes one call to the presumed leader. A redirect or a failure changes
   * the presumption for the next call.
   *
   * @throws {ControlUnavailableError} when that VM did not answer as leader.
   */
  async callOnce<Answer extends Redirectable>(
    call: (service: Client<typeof Control>) => Promise<Answer>,
  ): Promise<Answer> {
    const vm = this.#leader ?? this.#nextCandidate();
    const service = this.#peers.client(vm, Control);
    if (!service) {
      this.#leader = undefined;
      throw new ControlUnavailableError(`no peer address for VM "${vm}"`);
    }
    try {
      const answer = await call(service);
      if (!answer.redirect) {
        this.#leader = vm;
        return answer;
      }
      this.#leader = answer.redirect.leader || undefined;
    } catch (cause) {
      this.#leader = undefined;
      throw new ControlUnavailableError(`VM "${vm}" did not answer`, {
        cause,
      });
    }
    throw new ControlUnavailableError(`VM "${vm}" does not lead control`);
  }

  /**
   * Calls the leader, looking for it until the time is up.
   *
   * @throws {ControlUnavailableError} when no leader answered in time.
   */
  async call<Answer extends Redirectable>(
    call: (service: Client<typeof Control>) => Promise<Answer>,
    timeoutMilliseconds: number,
  ): Promise<Answer> {
    const until = this.#clock.now() + timeoutMilliseconds;
    for (;;) {
      try {
        return await this.callOnce(call);
      } catch (failure) {
        if (this.#clock.now() + retryPauseMilliseconds > until) throw failure;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, retryPauseMilliseconds)
      );
    }
  }

  #nextCandidate(): string {
    const vm = this.#candidates[this.#next % this.#candidates.length]!;
    this.#next += 1;
    return vm;
  }
}
