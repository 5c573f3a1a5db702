import { Agent, request as sendRequest } from "undici";
import type { History } from "./history.ts";

const requestTimeoutMilliseconds = 10_000;

/** One request of a caller. */
export interface CallerRequest {
  /** Callers' listener of the VM, as IP:PORT. */
  readonly vm: string;
  readonly method: string;
  readonly path: string;
  readonly tenant: string;
  readonly key: string;
  readonly idempotencyKey?: string;
}

/** The response that a caller received. */
export interface CallerResponse {
  readonly request: string;
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  /** Target that responded; empty if none did. */
  readonly target: string;
  /** Fence epoch under which the request was served; 0 if it was not served. */
  readonly epoch: number;
  readonly milliseconds: number;
}

/** Simulates callers: sends requests and records the responses. */
export class FakeCaller {
  readonly #history: History;
  readonly #agent = new Agent({ connections: 64 });
  #nextId = 1;

  constructor(options: { readonly history: History }) {
    this.#history = options.history;
  }

  /** Sends a request and waits for its response. */
  async send(request: CallerRequest): Promise<CallerResponse> {
    const id = `request-${this.#nextId++}`;
    this.#history.record({
      kind: "requestSent",
      request: id,
      tenant: request.tenant,
      key: request.key,
      vm: request.vm,
      idempotent: request.method === "GET",
      idempotencyKey: request.idempotencyKey ?? "",
    });
    const startedAt = performance.now();
    const result = await this.#sendAndReceive(id, request);
    const { answerTo, whole, ...response } = result;
    this.#history.record({
      kind: "responseReceived",
      request: id,
      status: response.status,
      outcome: response.outcome,
      reason: response.reason,
      answerTo,
      whole,
    });
    return {
      ...response,
      request: id,
      milliseconds: performance.now() - startedAt,
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendAndReceive(id: string, request: CallerRequest) {
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
          signal: AbortSignal.timeout(requestTimeoutMilliseconds),
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
