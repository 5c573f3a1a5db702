import {
  deliveryTimeoutMilliseconds,
  packMessage,
  parseConsensusMessage,
  resolveConsensusOptions,
  unpackMessage,
} from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { decodeValue, encodeValue, Replication } from "@kingcupglade/protocol";
import type { PeerDirectory } from "./peers.ts";
import { vmOfReplica } from "@kingcupglade/replica";

/** Consensus resends messages that were not delivered. */
const deliverTimeoutMilliseconds = deliveryTimeoutMilliseconds(
  resolveConsensusOptions(),
);
const maximumQueuedMessages = 256;

/** Options of a {@link ReplicaSender}. */
export interface ReplicaSenderOptions {
  readonly peers: PeerDirectory;
  /** The replica that sends. */
  readonly self: string;
  /** Called with the messages that a receiver returned in its response. */
  readonly onMessages: (messages: readonly ConsensusMessage[]) => void;
}

/** Delivers consensus messages in order, one batch at a time per VM. */
export class ReplicaSender {
  readonly #options: ReplicaSenderOptions;
  readonly #queues = new Map<string, Uint8Array<ArrayBuffer>[]>();
  readonly #delivering = new Set<string>();
  readonly #responding = new Set<string>();

  constructor(options: ReplicaSenderOptions) {
    this.#options = options;
  }

  /**
   * Queues a message. If the VM is unreachable and its queue is full, the oldest
   * message is dropped.
   */
  send(message: ConsensusMessage): void {
    const vm = vmOfReplica(message.to);
    const queue = this.#queue(vm);
    queue.push(encodeValue(packMessage(message)));
    if (queue.length > maximumQueuedMessages) queue.shift();
    void this.#drain(vm);
  }

  /**
   * Handles messages of a VM and returns the messages queued for it, so that no
   * separate call is needed for the responses. Returns none during another call
   * for the same VM.
   */
  async answer(
    vm: string,
    handle: () => Promise<void>,
  ): Promise<Uint8Array<ArrayBuffer>[]> {
    if (this.#responding.has(vm)) {
      await handle();
      return [];
    }
    this.#responding.add(vm);
    try {
      await handle();
      return this.#queue(vm).splice(0);
    } finally {
      this.#responding.delete(vm);
      void this.#drain(vm);
    }
  }

  #queue(vm: string): Uint8Array<ArrayBuffer>[] {
    const existing = this.#queues.get(vm);
    if (existing) return existing;
    const queue: Uint8Array<ArrayBuffer>[] = [];
    this.#queues.set(vm, queue);
    return queue;
  }

  async #drain(vm: string): Promise<void> {
    const { peers, self, onMessages } = this.#options;
    const replication = peers.client(vm, Replication);
    const queue = this.#queue(vm);
    if (!replication || this.#delivering.has(vm)) return;
    this.#delivering.add(vm);
    while (queue.length > 0 && !this.#responding.has(vm)) {
      try {
        const { messages } = await replication.deliver(
          { from: self, messages: queue.splice(0) },
          { timeoutMs: deliverTimeoutMilliseconds },
        );
        onMessages(
          messages.map((each) =>
            parseConsensusMessage(unpackMessage(decodeValue(each)))
          ),
        );
      } catch {
        // The consensus state machine resends messages without a response.
      }
    }
    this.#delivering.delete(vm);
  }
}
