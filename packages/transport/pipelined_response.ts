import { ServerResponse } from "node:http";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { PipelineLimits } from "./pipeline_limits.ts";

/** What a pipelined response knows of its connection. */
export interface PipelinePlace {
  readonly limits: PipelineLimits;
  /** Whether a request behind this one was started. */
  readonly isFollowed: () => boolean;
}

type EndArguments = Parameters<ServerResponse["end"]>;
type WriteArguments = Parameters<ServerResponse["write"]>;

/**
 * A response that may have to wait until the ones before it on its connection are
 * sent. What it holds in the meantime counts as memory of its listener.
 */
export class PipelinedResponse<
  Request extends IncomingMessage = IncomingMessage,
> extends ServerResponse<Request> {
  #place: PipelinePlace | undefined;
  #countedBytes = 0;

  /** Sets the place of the response when its request is started. */
  set place(place: PipelinePlace) {
    this.#place = place;
  }

  get place(): PipelinePlace | undefined {
    return this.#place;
  }

  /** Bytes that wait for the responses before this one to be sent. */
  get waitingBytes(): number {
    return this.socket ? 0 : this.writableLength;
  }

  /**
   * Returns false when no more should be written until `drain`. While it waits,
   * more is taken as long as there is memory, so that its target need not wait.
   */
  override write(...given: unknown[]): boolean {
    const isAccepted = super.write(...given as WriteArguments);
    if (this.socket || !this.#place) return isAccepted;
    this.#count();
    return isAccepted || !this.#place.limits.isFull;
  }

  override end(...given: unknown[]): this {
    super.end(...given as unknown as EndArguments);
    this.#count();
    return this;
  }

  override assignSocket(socket: Socket): void {
    super.assignSocket(socket);
    this.#count();
  }

  /** Returns its memory; called when the connection has closed. */
  release(): void {
    this.#place?.limits.add(-this.#countedBytes);
    this.#countedBytes = 0;
    this.#place = undefined;
  }

  #count(): void {
    const bytes = this.waitingBytes;
    this.#place?.limits.add(bytes - this.#countedBytes);
    this.#countedBytes = this.#place ? bytes : 0;
  }
}

const closingBodies = new WeakSet<ServerResponse>();

/** Whether the end of the response's body is that of its connection. */
export function endsWithConnection(response: ServerResponse): boolean {
  return closingBodies.has(response);
}

/**
 * Makes a response close its connection at the end of its body. Returns false,
 * and changes nothing, if a request behind it was started: its response would be
 * lost.
 */
export function closeAfterBody(response: ServerResponse): boolean {
  const place = response instanceof PipelinedResponse
    ? response.place
    : undefined;
  place?.limits.recordClosingBody();
  if (place?.isFollowed()) {
    place.limits.observer.onReplace?.(response.req.headers);
    return false;
  }
  response.shouldKeepAlive = false;
  closingBodies.add(response);
  return true;
}
