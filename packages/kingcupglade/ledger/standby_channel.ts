/** An encoded batch of one shard. */
export interface ShardMessage {
  readonly region: string;
  readonly shard: number;
  readonly batch: Uint8Array<ArrayBuffer>;
}

/** Sends messages in one call; resolves with whether each was accepted. */
export type SendMessages = (
  messages: readonly ShardMessage[],
) => Promise<readonly boolean[]>;

interface PendingMessage {
  readonly message: ShardMessage;
  readonly resolve: (accepted: boolean) => void;
}

/**
 * Sends batches of shards to one standby VM. One call is in flight at a time;
 * messages that are sent in the meantime share the next call.
 */
export class StandbyChannel {
  readonly #send: SendMessages;
  #pending: PendingMessage[] = [];
  #isRunning = false;

  constructor(options: { readonly send: SendMessages }) {
    this.#send = options.send;
  }

  /** Resolves with whether the standby accepted the message. */
  send(message: ShardMessage): Promise<boolean> {
    return new Promise((resolve) => {
      this.#pending.push({ message, resolve });
      void this.#run();
    });
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    // Shards that change in the same turn of the event loop share a call.
    await Promise.resolve();
    while (this.#pending.length > 0) {
      const sent = this.#pending;
      this.#pending = [];
      const accepted = await this.#send(sent.map((each) => each.message))
        .catch(() => []);
      sent.forEach((each, index) => each.resolve(accepted[index] ?? false));
    }
    this.#isRunning = false;
  }
}
