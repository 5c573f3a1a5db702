import type { ExternalResponse } from "./control_wire.ts";
import type { ReceivedCall } from "./received_call.ts";

/**
 * Time for which calls of targets are collected, so that many are relayed to
 * the leader in one message.
 */
const batchDelayMilliseconds = 50;

interface PendingCall {
  readonly call: ReceivedCall;
  readonly resolve: (answer: ExternalResponse) => void;
  readonly reject: (failure: unknown) => void;
}

/** Options of a {@link RelayBatch}. */
export interface RelayBatchOptions {
  /**
   * Sends calls to the leader; responses are in the order of the calls. The
   * time-out is that of a call that is relayed immediately, if it has its own.
   */
  readonly send: (
    calls: readonly ReceivedCall[],
    timeoutMilliseconds?: number,
  ) => Promise<readonly ExternalResponse[]>;
}

/** Relays calls to the leader in batches. */
export class RelayBatch {
  readonly #send: RelayBatchOptions["send"];
  #pending: PendingCall[] = [];

  constructor(options: RelayBatchOptions) {
    this.#send = options.send;
  }

  /** Relays a call in one batch with the calls that follow it shortly. */
  enqueue(call: ReceivedCall): Promise<ExternalResponse> {
    return new Promise((resolve, reject) => {
      this.#pending.push({ call, resolve, reject });
      if (this.#pending.length > 1) return;
      setTimeout(() => void this.#flush(), batchDelayMilliseconds);
    });
  }

  /** Relays a call immediately. */
  async sendNow(
    call: ReceivedCall,
    timeoutMilliseconds?: number,
  ): Promise<ExternalResponse> {
    const [answer] = await this.#send([call], timeoutMilliseconds);
    return answer!;
  }

  async #flush(): Promise<void> {
    const batch = this.#pending;
    this.#pending = [];
    try {
      const answers = await this.#send(batch.map(({ call }) => call));
      for (const [at, { resolve }] of batch.entries()) resolve(answers[at]!);
    } catch (failure) {
      for (const { reject } of batch) reject(failure);
    }
  }
}
