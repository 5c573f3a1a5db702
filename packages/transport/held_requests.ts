import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";

const heldTimes = new WeakMap<IncomingMessage, number>();

/**
 * Returns for how many milliseconds a request waited before it was handled, as
 * its listener was about to close; 0 if it did not wait.
 */
export function heldMilliseconds(request: IncomingMessage): number {
  return heldTimes.get(request) ?? 0;
}

/** Requests that wait until their listener has closed. */
export class HeldRequests {
  readonly #requests: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly heldAt: number;
  }[] = [];

  add(request: IncomingMessage, response: ServerResponse): void {
    this.#requests.push({ request, response, heldAt: performance.now() });
  }

  /** Hands over all requests whose connection is still open. */
  release(handler: RequestListener): void {
    for (const { request, response, heldAt } of this.#requests.splice(0)) {
      if (response.destroyed) continue;
      heldTimes.set(request, performance.now() - heldAt);
      handler(request, response);
    }
  }
}
