import { request as send } from "node:http";
import type { Agent, ClientRequest } from "node:http";
import { clientHeaders, namesLimit } from "@kingcupglade/platform";
import { AttemptEnd } from "./attempt_monitor.ts";

const deadlineMilliseconds = 1500;
/** Time beyond the deadline that a caller waits for the gateway's answer. */
const patienceMilliseconds = 500;

/** A kind of request: path, method and whether the request is idempotent. */
export interface RequestKind {
  readonly path: string;
  readonly method: string;
  readonly isIdempotent: boolean;
}

/** What a caller saw of a request. */
export interface AttemptOutcome {
  readonly end: AttemptEnd;
  /** Status of the answer; 0 without one. */
  readonly status: number;
  readonly body: string;
  /** Whether a length or chunks marked the end of the body. */
  readonly isDelimited: boolean;
  readonly namesLimit: boolean;
  readonly isReused: boolean;
}

/** Sends a request and resolves when it has ended in whatever way. */
export function sendAttempt(options: {
  readonly id: string;
  /** IP:PORT. */
  readonly gateway: string;
  readonly kind: RequestKind;
  readonly position: number;
  readonly agent: Agent;
  /** Further headers. */
  readonly headers?: Readonly<Record<string, readonly string[]>>;
  /** Trailers, which make the body a chunked one. */
  readonly trailers?: Readonly<Record<string, string>>;
}): Promise<AttemptOutcome> {
  const { id, gateway, kind, position, agent } = options;
  const { headers = {}, trailers = {} } = options;
  const trailerNames = Object.keys(trailers);
  const [host, port] = gateway.split(":");
  return new Promise((resolve) => {
    const request = send({
      host,
      port,
      agent,
      method: kind.method,
      path: kind.path,
      headers: {
        ...clientHeaders({
          id,
          host: "jigs.example",
          deadlineMilliseconds,
          position,
        }),
        ...headers,
        ...(trailerNames.length > 0 && {
          "transfer-encoding": "chunked",
          trailer: trailerNames.join(),
        }),
      },
    });
    let hasTimedOut = false;
    const fail = (end: AttemptEnd) => {
      resolve({
        end: hasTimedOut ? AttemptEnd.timedOut : end,
        status: 0,
        body: "",
        isDelimited: true,
        namesLimit: false,
        isReused: request.reusedSocket,
      });
    };
    const timer = setTimeout(() => {
      hasTimedOut = true;
      request.destroy();
    }, deadlineMilliseconds + patienceMilliseconds);
    request.once("response", (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => fail(AttemptEnd.cut));
      response.on("end", () =>
        resolve({
          end: AttemptEnd.answered,
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
          isDelimited: response.headers["content-length"] !== undefined ||
            response.headers["transfer-encoding"] !== undefined,
          namesLimit: namesLimit(response.headers),
          isReused: request.reusedSocket,
        }));
    });
    request.once("close", () => clearTimeout(timer));
    request.once("error", (failure) => fail(classifyFailure(request, failure)));
    if (trailerNames.length > 0) request.addTrailers(trailers);
    request.end();
  });
}

function classifyFailure(request: ClientRequest, failure: Error): AttemptEnd {
  if ((failure as NodeJS.ErrnoException).code === "ECONNREFUSED") {
    return AttemptEnd.refused;
  }
  return request.writableFinished ? AttemptEnd.reset : AttemptEnd.unsent;
}
