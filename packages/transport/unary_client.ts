import type { IncomingHttpHeaders } from "node:http";
import type { DescMethod, DescService } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { CallOptions, Client } from "@connectrpc/connect";
import type { Dispatcher } from "undici";
import type { PeerPool } from "./peer_pool.ts";

const defaultTimeoutMilliseconds = 5000;

/** Thrown when a call to another VM fails or times out. */
export class PeerCallError extends Error {
  override readonly name = "PeerCallError";
}

/** Options of {@link createUnaryClient}. */
export interface UnaryClientOptions {
  /** Connections to the VM that is called. */
  readonly connections: Pick<PeerPool, "current" | "recordSilence">;
  /** Secret that all VMs share. */
  readonly secret: string;
}

/**
 * Creates a client that calls the unary methods of a service by the Connect
 * protocol, directly through `undici`. A call through Connect's own client and
 * server takes more than four times the CPU time, which is too much for calls
 * that are made for each request. Calls time out after 5 s unless `timeoutMs` is
 * given, and call `onHeader` when a response begins; failed calls reject with
 * {@link PeerCallError}.
 */
export function createUnaryClient<Service extends DescService>(
  service: Service,
  options: UnaryClientOptions,
): Client<Service> {
  const methods = service.methods.map((method) => [
    method.localName,
    (message: never, { timeoutMs, onHeader }: CallOptions = {}) =>
      callMethod(options, {
        method,
        message,
        timeoutMilliseconds: timeoutMs ?? defaultTimeoutMilliseconds,
        ...(onHeader && { onHeader }),
      }),
  ]);
  return Object.fromEntries(methods) as Client<Service>;
}

async function callMethod(
  options: UnaryClientOptions,
  call: {
    readonly method: DescMethod;
    readonly message: never;
    readonly timeoutMilliseconds: number;
    readonly onHeader?: (headers: Headers) => void;
  },
): Promise<unknown> {
  const { method, message, timeoutMilliseconds, onHeader } = call;
  const body = toBinary(method.input, create(method.input, message));
  const { connections } = options;
  const pool = connections.current;
  const responseBody = await new Promise<Buffer>((resolve, reject) => {
    pool.dispatch(
      {
        method: "POST",
        path: methodPath(method),
        headers: {
          "authorization": `Bearer ${options.secret}`,
          "content-type": "application/proto",
        },
        body,
      },
      new UnaryCallHandler({
        resolve,
        reject,
        timeoutMilliseconds,
        ...(onHeader && { onHeader }),
        onSilence: () => connections.recordSilence(pool),
      }),
    );
  });
  return fromBinary(method.output, responseBody);
}

/** Returns the URL path of a method in the Connect protocol. */
export function methodPath(method: DescMethod): string {
  return `/${method.parent.typeName}/${method.name}`;
}

class UnaryCallHandler implements Dispatcher.DispatchHandler {
  readonly #resolve: (body: Buffer) => void;
  readonly #reject: (failure: PeerCallError) => void;
  readonly #onHeader: ((headers: Headers) => void) | undefined;
  readonly #timer: NodeJS.Timeout;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #timeoutError: PeerCallError | undefined;
  #status = 0;

  constructor(options: {
    readonly resolve: (body: Buffer) => void;
    readonly reject: (failure: PeerCallError) => void;
    readonly timeoutMilliseconds: number;
    readonly onHeader?: (headers: Headers) => void;
    readonly onSilence: () => void;
  }) {
    this.#resolve = options.resolve;
    this.#reject = options.reject;
    this.#onHeader = options.onHeader;
    this.#timer = setTimeout(() => {
      this.#timeoutError = new PeerCallError("the VM did not respond in time");
      this.#reject(this.#timeoutError);
      if (this.#controller && this.#status === 0) options.onSilence();
      this.#controller?.abort(this.#timeoutError);
    }, options.timeoutMilliseconds);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#timeoutError) controller.abort(this.#timeoutError);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#onHeader?.(new Headers(headers as Record<string, string>));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    clearTimeout(this.#timer);
    const body = Buffer.concat(this.#chunks);
    if (this.#status === 200) return this.#resolve(body);
    this.#reject(
      new PeerCallError(
        `the VM responded with status ${this.#status}: ${body.toString()}`,
      ),
    );
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    cause: Error,
  ): void {
    clearTimeout(this.#timer);
    this.#reject(
      new PeerCallError(`the VM is unreachable: ${cause.message}`, {
        cause,
      }),
    );
  }
}
