import type { Client } from "@connectrpc/connect";
import { Control } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import { ControlUnavailableError } from "./errors.ts";
import type { PeerDirectory } from "./peers.ts";

const retryDelayMilliseconds = 50;

interface Redirectable {
  readonly redirect?: { readonly leader: string } | undefined;
}

/** Locates the control leader and calls it. */
export class ControlClient {
  readonly #peers: PeerDirectory;
  readonly #candidates: readonly string[];
  readonly #clock: Clock;
  #leader: string | undefined;
  #candidateIndex = 0;

  constructor(options: {
    readonly peers: PeerDirectory;
    /** VMs that may run a control replica, in the order to try them. */
    readonly candidates: readonly string[];
    readonly clock: Clock;
  }) {
    this.#peers = options.peers;
    this.#candidates = options.candidates;
    this.#clock = options.clock;
  }

  /** The VM that last responded as leader. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /**
   * Makes one call to the presumed leader. A redirect or a failure changes the
   * VM that the next call is sent to.
   *
   * @throws {ControlUnavailableError} when that VM did not respond as leader.
   */
  async callOnce<Response extends Redirectable>(
    call: (service: Client<typeof Control>) => Promise<Response>,
  ): Promise<Response> {
    const vm = this.#leader ?? this.#nextCandidate();
    const service = this.#peers.client(vm, Control);
    if (!service) {
      this.#leader = undefined;
      throw new ControlUnavailableError(`VM "${vm}" has no address in [peers]`);
    }
    try {
      const response = await call(service);
      if (!response.redirect) {
        this.#leader = vm;
        return response;
      }
      this.#leader = response.redirect.leader || undefined;
    } catch (cause) {
      this.#leader = undefined;
      throw new ControlUnavailableError(`VM "${vm}" did not answer`, {
        cause,
      });
    }
    throw new ControlUnavailableError(`VM "${vm}" is not the control leader`);
  }

  /**
   * Calls the leader, retrying until the timeout expires.
   *
   * @throws {ControlUnavailableError} when no leader responded in time.
   */
  async call<Response extends Redirectable>(
    call: (service: Client<typeof Control>) => Promise<Response>,
    timeoutMilliseconds: number,
  ): Promise<Response> {
    const endAt = this.#clock.now() + timeoutMilliseconds;
    for (;;) {
      try {
        return await this.callOnce(call);
      } catch (failure) {
        if (this.#clock.now() + retryDelayMilliseconds > endAt) throw failure;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, retryDelayMilliseconds)
      );
    }
  }

  #nextCandidate(): string {
    const vm = this
      .#candidates[this.#candidateIndex % this.#candidates.length]!;
    this.#candidateIndex += 1;
    return vm;
  }
}
