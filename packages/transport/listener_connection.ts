import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import { endsWithConnection } from "./pipelined_response.ts";

/**
 * A connection on which a request is due is kept this long after its last bytes:
 * a round trip between regions and the handshakes.
 */
const requestWaitMilliseconds = 500;
/** Time for a caller to close its side of a connection that was ended. */
export const lingerMilliseconds = 300;

/** What a closing listener does with a connection. */
export const CloseStep = {
  wait: "wait",
  /** Sends the end of the connection and reads on. */
  end: "end",
  destroy: "destroy",
} as const;
export type CloseStep = (typeof CloseStep)[keyof typeof CloseStep];

/** State of a connection whose listener closes. */
export interface ConnectionState {
  /** Whether a response is not fully sent. */
  readonly isResponding: boolean;
  /** Whether its first request, or the rest of a request, has yet to arrive. */
  readonly isRequestDue: boolean;
  /** Time since it was accepted or bytes arrived. */
  readonly silentMilliseconds: number;
  /** Time since it was ended; undefined while it is open. */
  readonly endedMilliseconds: number | undefined;
}

/** Returns what a closing listener does with a connection. */
export function nextCloseStep(state: ConnectionState): CloseStep {
  const { endedMilliseconds } = state;
  if (endedMilliseconds !== undefined) {
    return endedMilliseconds < lingerMilliseconds
      ? CloseStep.wait
      : CloseStep.destroy;
  }
  if (state.isResponding) return CloseStep.wait;
  return state.isRequestDue &&
      state.silentMilliseconds < requestWaitMilliseconds
    ? CloseStep.wait
    : CloseStep.end;
}

/** A connection of a listener, with the responses that are due on it. */
export class ListenerConnection {
  readonly #socket: Socket;
  /** Responses that are not fully sent. */
  readonly #responses = new Set<ServerResponse>();
  #hasResponded = false;
  /** Bytes read when the last response was sent. */
  #bytesWhenIdle = 0;
  #bytesRead = 0;
  #receivedAt: number;
  #endedAt: number | undefined;

  constructor(socket: Socket, now: number) {
    this.#socket = socket;
    this.#receivedAt = now;
  }

  /** Whether its end was sent, so that no response can follow. */
  get isEnded(): boolean {
    return this.#endedAt !== undefined;
  }

  /** Whether a request was received whose response has not ended. */
  get isResponseDue(): boolean {
    return this.#responses.size > 0;
  }

  /** Whether a response is not fully sent. */
  get isResponding(): boolean {
    // Node.js ends a response before its last bytes are sent.
    return this.#responses.size > 0 || this.#socket.writableLength > 0;
  }

  /** Records a response that is due. */
  addResponse(response: ServerResponse): void {
    this.#responses.add(response);
    response.once("close", () => {
      this.#responses.delete(response);
      this.#hasResponded = true;
      this.#bytesWhenIdle = this.#socket.bytesRead;
    });
  }

  /** Responses that are not fully sent, in the order of their requests. */
  get responses(): ReadonlySet<ServerResponse> {
    return this.#responses;
  }

  /** The response to the last request that was started, if it is not fully sent. */
  get newestResponse(): ServerResponse | undefined {
    let newest: ServerResponse | undefined;
    for (const each of this.#responses) newest = each;
    return newest;
  }

  /**
   * Makes the last response close the connection, if its headers are not sent.
   * One before it would cut off those that follow.
   */
  refuseReuse(): void {
    const newest = this.newestResponse;
    if (newest && !newest.headersSent) newest.shouldKeepAlive = false;
  }

  /** Carries out the next step of closing. */
  close(now: number): void {
    switch (nextCloseStep(this.#stateAt(now))) {
      case CloseStep.end:
        this.#endedAt = now;
        this.#socket.end();
        break;
      case CloseStep.destroy:
        this.#socket.destroy();
    }
  }

  /**
   * Ends the connection after its last response, and reads on until the caller
   * ends it as well. The system resets a connection that is closed before all
   * bytes were read, and the caller could lose the response.
   */
  linger(): void {
    if (this.#endedAt !== undefined) return;
    this.#endedAt = performance.now();
    this.#socket.end();
    const timer = setTimeout(() => this.#socket.destroy(), lingerMilliseconds);
    this.#socket.once("close", () => clearTimeout(timer));
  }

  /** Closes the connection; a response that it cuts off does not look whole. */
  destroy(): void {
    const isOpen = [...this.#responses].some(endsWithConnection);
    // The end of a TLS connection is marked by itself.
    if (isOpen && !(this.#socket instanceof TLSSocket)) {
      this.#socket.resetAndDestroy();
    } else this.#socket.destroy();
  }

  #stateAt(now: number): ConnectionState {
    const { bytesRead } = this.#socket;
    if (bytesRead !== this.#bytesRead) {
      this.#bytesRead = bytesRead;
      this.#receivedAt = now;
    }
    return {
      isResponding: this.isResponding,
      isRequestDue: !this.#hasResponded || bytesRead > this.#bytesWhenIdle,
      silentMilliseconds: now - this.#receivedAt,
      endedMilliseconds: this.#endedAt === undefined
        ? undefined
        : now - this.#endedAt,
    };
  }
}
