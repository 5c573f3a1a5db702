import { Agent, request as sendRequest } from "undici";
import type { History } from "./history.ts";

const callerTimeoutMilliseconds = 10_000;

/** One request of a caller. */
export interface CallerRequest {
  readonly vm: string;
  readonly method: string;
  readonly path: string;
  readonly tenant: string;
  readonly key: string;
  readonly idempotencyKey?: string;
}

/** What a caller was told. */
export interface CallerAnswer {
  readonly request: string;
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  /** Target that answered; empty when none did. */
  readonly target: string;
  /** Fence epoch under which it was served; 0 when it was not. */
  readonly epoch: number;
  readonly milliseconds: number;
}

/** A stand-in for callers: sends requests and records what it was told. */
export class FakeCaller {
  readonly #history: History;
  readonly #agent = new Agent({ connections: 64 });
  #next = 1;

  constructor(options: { readonly history: History }) {
    this.#history = options.history;
  }

  /** Sends a request and waits for its answer. */
  async send(request: CallerRequest): Promise<CallerAnswer> {
    const id = `request-${this.#next++}`;
    this.#history.record({
      kind: "asked",
      request: id,
      tenant: request.tenant,
      key: request.key,
      vm: request.vm,
      idempotent: request.method === "GET",
      idempotencyKey: request.idempotencyKey ?? "",
    });
    const startedAt = performance.now();
    const told = await this.#exchange(id, request);
    const { answerTo, whole, ...answer } = told;
    this.#history.record({
      kind: "told",
      request: id,
      status: answer.status,
      outcome: answer.outcome,
      reason: answer.reason,
      answerTo,
      whole,
    });
    return {
      ...answer,
      request: id,
      milliseconds: performance.now() - startedAt,
    };
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #exchange(id: string, request: CallerRequest) {
    try {
      const { statusCode, headers, body } = await sendRequest(
        `http://${request.vm}${request.path}`,
        {
          dispatcher: this.#agent,
          method: request.method as "GET",
          headers: {
            "x-request": id,
            "x-tenant": request.tenant,
            ...(request.idempotencyKey === undefined
              ? {}
              : { "idempotency-key": request.idempotencyKey }),
          },
          signal: AbortSignal.timeout(callerTimeoutMilliseconds),
        },
      );
      const document = await body.json() as {
        request?: string;
        target?: string;
        epoch?: number;
      };
      return {
        status: statusCode,
        outcome: String(headers["kingcupglade-outcome"] ?? ""),
        reason: String(headers["kingcupglade-reason"] ?? ""),
        target: document.target ?? "",
        epoch: document.epoch ?? 0,
        answerTo: document.request ?? "",
        whole: true,
      };
    } catch (failure) {
      return {
        status: 0,
        outcome: "",
        reason: (failure as Error).message,
        target: "",
        epoch: 0,
        answerTo: "",
        whole: false,
      };
    }
  }
}
