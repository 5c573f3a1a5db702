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

/** Relays calls to the leader in batches. */
export class RelayBatch {
  readonly #send: (
    calls: readonly ReceivedCall[],
  ) => Promise<readonly ExternalResponse[]>;
  #pending: PendingCall[] = [];

  constructor(options: {
    /** Sends calls to the leader; responses are in the order of the calls. */
    readonly send: (
      calls: readonly ReceivedCall[],
    ) => Promise<readonly ExternalResponse[]>;
  }) {
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
  async sendNow(call: ReceivedCall): Promise<ExternalResponse> {
    const [answer] = await this.#send([call]);
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
