import type { IncomingMessage, ServerResponse } from "node:http";
import type { DescMethod, DescService } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ServiceImpl } from "@connectrpc/connect";
import { describeFailure } from "@kingcupglade/telemetry";
import { methodPath } from "./unary_client.ts";
import { presentsSecret } from "./secret.ts";
import { BodyTooLargeError, readBody, sendJson } from "./body.ts";

const maximumMessageBytes = 64 * 1024 * 1024;

/** Registers the services that a VM provides to the other VMs. */
export interface ServiceRegistry {
  /**
   * Registers the implemented unary methods of a service. Of the context, `signal`
   * is provided.
   */
  service<Service extends DescService>(
    service: Service,
    implementation: Partial<ServiceImpl<Service>>,
  ): unknown;
}

type MethodHandler = (message: unknown, context: CallContext) => unknown;

interface RegisteredMethod {
  readonly method: DescMethod;
  readonly handle: MethodHandler;
}

/**
 * Serves unary calls of the Connect protocol directly on `node:http`; the
 * counterpart of {@link createUnaryClient}.
 */
export class UnaryServices implements ServiceRegistry {
  readonly #secret: string;
  readonly #methods = new Map<string, RegisteredMethod>();

  constructor(options: { readonly secret: string }) {
    this.#secret = options.secret;
  }

  service<Service extends DescService>(
    service: Service,
    implementation: Partial<ServiceImpl<Service>>,
  ): void {
    const methods = implementation as unknown as Readonly<
      Record<string, MethodHandler>
    >;
    for (const method of service.methods) {
      const handler = methods[method.localName];
      if (handler) {
        this.#methods.set(methodPath(method), {
          method,
          handle: handler,
        });
      }
    }
  }

  /** Serves a call of a registered method; returns false for other requests. */
  handle(request: IncomingMessage, response: ServerResponse): boolean {
    const registered = this.#methods.get(request.url ?? "");
    if (!registered) return false;
    if (!presentsSecret(request.headers.authorization, this.#secret)) {
      sendJson(response, 401, {
        code: "unauthenticated",
        message: "the VM secret is missing",
      });
      return true;
    }
    this.#callMethod(registered, request, response).then(
      (responseBody) => sendMessage(response, responseBody),
      (failure) => sendFailure(response, failure),
    );
    return true;
  }

  async #callMethod(
    registered: RegisteredMethod,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Uint8Array> {
    const { method, handle } = registered;
    const body = await readBody(request, maximumMessageBytes);
    const output = await handle(
      decodeMessage(method, body),
      new CallContext(response),
    );
    return toBinary(
      method.output,
      create(method.output, output as never),
    );
  }
}

/** What a method learns of its caller. */
class CallContext {
  readonly #response: ServerResponse;
  #signal: AbortSignal | undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * Aborted when the connection is closed before the response. Created when it is
   * first read: most methods do without.
   */
  get signal(): AbortSignal {
    return this.#signal ??= createClosingSignal(this.#response);
  }
}

function createClosingSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  const abort = () => {
    if (!response.writableEnded) controller.abort();
  };
  if (response.destroyed) abort();
  else response.once("close", abort);
  return controller.signal;
}

/** Thrown when a body cannot be decoded as the input of its method. */
class MessageError extends Error {
  override readonly name = "MessageError";
}

function decodeMessage(method: DescMethod, body: Buffer): unknown {
  try {
    return fromBinary(method.input, body);
  } catch (cause) {
    throw new MessageError(`the body is not a ${method.input.typeName}`, {
      cause,
    });
  }
}

// Omits the Date header, and the Connection header of a connection that is kept.
function sendMessage(response: ServerResponse, body: Uint8Array): void {
  response.sendDate = false;
  if (response.shouldKeepAlive) response.removeHeader("connection");
  response.writeHead(200, {
    "content-type": "application/proto",
    "content-length": body.length,
  });
  response.end(body);
}

function sendFailure(response: ServerResponse, failure: unknown): void {
  const isClientError = failure instanceof MessageError ||
    failure instanceof BodyTooLargeError ||
    failure instanceof ConnectError && failure.code === Code.InvalidArgument;
  sendJson(response, isClientError ? 400 : 500, {
    code: isClientError ? "invalid_argument" : "unknown",
    message: describeFailure(failure),
  });
}
