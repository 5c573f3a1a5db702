import {
  deliveryTimeoutMilliseconds,
  packMessage,
  parseConsensusMessage,
  resolveConsensusOptions,
  unpackMessage,
} from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { decodeValue, encodeValue, Replication } from "@kingcupglade/protocol";
import { vmOfReplica } from "@kingcupglade/replica";
import { isAddress } from "@kingcupglade/transport";
import { consensusTimings } from "./control_replica.ts";
import type { PeerClients } from "./peer_clients.ts";

/** Consensus resends messages that were not delivered. */
const deliverTimeoutMilliseconds = deliveryTimeoutMilliseconds(
  resolveConsensusOptions(consensusTimings),
);
const maximumWaitingMessages = 256;

/** Thrown when a caller names a replica that cannot be reached. */
export class PeerAddressError extends Error {
  override readonly name = "PeerAddressError";

  constructor(replica: string) {
    super(`"${replica}" is not IP:PORT and an incarnation`);
  }
}

/** Delivers consensus messages in order, one batch at a time per receiver. */
export class ReplicaLinks {
  readonly #clients: PeerClients;
  readonly #self: string;
  readonly #onReply: (messages: readonly ConsensusMessage[]) => void;
  readonly #queues = new Map<string, Uint8Array<ArrayBuffer>[]>();
  readonly #busy = new Set<string>();
  readonly #replying = new Set<string>();

  constructor(options: {
    readonly clients: PeerClients;
    readonly self: string;
    /** Called with the messages that a receiver returned in its response. */
    readonly onReply: (messages: readonly ConsensusMessage[]) => void;
  }) {
    this.#clients = options.clients;
    this.#self = options.self;
    this.#onReply = options.onReply;
  }

  /**
   * Queues a message. The oldest ones are dropped while the receiver is
   * unreachable.
   */
  send(message: ConsensusMessage): void {
    const address = vmOfReplica(message.to);
    const queue = this.#queue(address);
    queue.push(encodeValue(packMessage(message)));
    if (queue.length > maximumWaitingMessages) queue.shift();
    void this.#drain(address, queue);
  }

  /**
   * Handles messages of a replica and returns the messages queued for it, so
   * that these need no call of their own.
   *
   * @throws {PeerAddressError} when the replica's name holds no address.
   */
  async answer(
    replica: string,
    handle: () => Promise<void> | undefined,
  ): Promise<Uint8Array<ArrayBuffer>[]> {
    const address = vmOfReplica(replica);
    if (!isAddress(address)) throw new PeerAddressError(replica);
    if (this.#replying.has(address)) {
      await handle();
      return [];
    }
    this.#replying.add(address);
    const queue = this.#queue(address);
    try {
      await handle();
      return queue.splice(0);
    } finally {
      this.#replying.delete(address);
      void this.#drain(address, queue);
    }
  }

  #queue(address: string): Uint8Array<ArrayBuffer>[] {
    const queue = this.#queues.get(address) ?? [];
    this.#queues.set(address, queue);
    return queue;
  }

  async #drain(
    address: string,
    queue: Uint8Array<ArrayBuffer>[],
  ): Promise<void> {
    if (this.#busy.has(address)) return;
    this.#busy.add(address);
    await Promise.resolve();
    while (queue.length > 0 && !this.#replying.has(address)) {
      const sent = queue.splice(0);
      try {
        const { messages } = await this.#clients.client(address, Replication)
          .deliver(
            { from: this.#self, messages: sent },
            { timeoutMs: deliverTimeoutMilliseconds },
          );
        this.#onReply(readMessages(messages));
      } catch {
        // Consensus resends messages that were not answered.
      }
    }
    this.#busy.delete(address);
  }
}

/** Decodes a delivered batch of messages. */
export function readMessages(
  messages: readonly Uint8Array[],
): readonly ConsensusMessage[] {
  return messages.map((each) =>
    parseConsensusMessage(unpackMessage(decodeValue(each)))
  );
}
