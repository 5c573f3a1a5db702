import type { ConsensusMessage } from "@kingcupglade/consensus";
import { encodeValue, Replication } from "@kingcupglade/protocol";
import type { PeerDirectory } from "./peers.ts";
import { vmOfReplica } from "./replica_id.ts";

const deliverTimeoutMilliseconds = 1000;
const maximumWaitingMessages = 256;

/** Delivers consensus messages in order, one batch at a time per receiver. */
export class ReplicaSender {
  readonly #peers: PeerDirectory;
  readonly #self: string;
  readonly #queues = new Map<string, Uint8Array[]>();
  readonly #busy = new Set<string>();

  constructor(peers: PeerDirectory, self: string) {
    this.#peers = peers;
    this.#self = self;
  }

  /** Queues a message; old ones are dropped when the receiver is unreachable. */
  send(message: ConsensusMessage): void {
    const vm = vmOfReplica(message.to);
    const queue = this.#queues.get(vm) ?? [];
    this.#queues.set(vm, queue);
    queue.push(encodeValue(message));
    if (queue.length > maximumWaitingMessages) queue.shift();
    void this.#drain(vm, queue);
  }

  async #drain(vm: string, queue: Uint8Array[]): Promise<void> {
    const replication = this.#peers.client(vm, Replication);
    if (!replication || this.#busy.has(vm)) return;
    this.#busy.add(vm);
    while (queue.length > 0) {
      const messages = queue.splice(0) as Uint8Array<ArrayBuffer>[];
      try {
        await replication.deliver(
          { from: this.#self, messages },
          { timeoutMs: deliverTimeoutMilliseconds },
        );
      } catch {
        // The consensus machine sends again what was not answered.
      }
    }
    this.#busy.delete(vm);
  }
}
