import type { IncomingHttpHeaders } from "node:http";
import type { DescMethod, DescService } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { CallOptions, Client } from "@connectrpc/connect";
import type { Dispatcher } from "undici";
import type { PeerPool } from "./peer_pool.ts";

const defaultTimeoutMilliseconds = 5000;
/**
 * Time without a byte after which a response that has begun is given up: two
 * packets that are lost in a row are sent again within 0.6 s.
 */
const stallMilliseconds = 1000;

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
 * given, or once a response that has begun brings no byte for a second. Of the
 * other options, `onHeader` and `signal` are supported. Failed calls reject with
 * {@link PeerCallError}.
 */
export function createUnaryClient<Service extends DescService>(
  service: Service,
  options: UnaryClientOptions,
): Client<Service> {
  const methods = service.methods.map((method) => [
    method.localName,
    (message: never, callOptions: CallOptions = {}) =>
      callMethod(options, { method, message, options: callOptions }),
  ]);
  return Object.fromEntries(methods) as Client<Service>;
}

async function callMethod(
  options: UnaryClientOptions,
  call: {
    readonly method: DescMethod;
    readonly message: never;
    readonly options: CallOptions;
  },
): Promise<unknown> {
  const { method, message } = call;
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
        ...call.options,
        resolve,
        reject,
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

interface UnaryCallHandlerOptions extends CallOptions {
  readonly resolve: (body: Buffer) => void;
  readonly reject: (failure: PeerCallError) => void;
  /** Called when the VM was silent on an open connection. */
  readonly onSilence: () => void;
}

class UnaryCallHandler implements Dispatcher.DispatchHandler {
  readonly #options: UnaryCallHandlerOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #chunks: Buffer[] = [];
  #stallTimer: NodeJS.Timeout | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  /** Why the call has ended before its response. */
  #failure: PeerCallError | undefined;
  #status = 0;

  constructor(options: UnaryCallHandlerOptions) {
    this.#options = options;
    const { timeoutMs = defaultTimeoutMilliseconds, signal } = options;
    this.#timer = setTimeout(() => this.#handleTimeout(), timeoutMs);
    signal?.addEventListener("abort", this.#cancel, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#failure) controller.abort(this.#failure);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#stallTimer = setTimeout(
      () => this.#handleStall(),
      stallMilliseconds,
    );
    const { onHeader } = this.#options;
    onHeader?.(new Headers(headers as Record<string, string>));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#stallTimer?.refresh();
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.#stopTimers();
    const body = Buffer.concat(this.#chunks);
    if (this.#status === 200) return this.#options.resolve(body);
    this.#options.reject(
      new PeerCallError(
        `the VM responded with status ${this.#status}: ${body.toString()}`,
      ),
    );
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    cause: Error,
  ): void {
    this.#stopTimers();
    this.#options.reject(
      new PeerCallError(`the VM is unreachable: ${cause.message}`, {
        cause,
      }),
    );
  }

  #handleTimeout(): void {
    const isSilent = this.#controller !== undefined && this.#status === 0;
    this.#end("the VM did not respond in time", isSilent);
  }

  #handleStall(): void {
    this.#end("the response of the VM does not go on", true);
  }

  readonly #cancel = () => this.#end("the call was cancelled", false);

  #end(reason: string, isSilent: boolean): void {
    this.#stopTimers();
    this.#failure = new PeerCallError(reason);
    this.#options.reject(this.#failure);
    if (isSilent) this.#options.onSilence();
    this.#controller?.abort(this.#failure);
  }

  #stopTimers(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#stallTimer);
    this.#options.signal?.removeEventListener("abort", this.#cancel);
  }
}
