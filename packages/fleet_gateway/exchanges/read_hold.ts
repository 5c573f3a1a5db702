import type { Socket } from "node:net";

/**
 * Stops the parser of a connection from reading for as long as anything holds
 * it. undici's own pause ends the process with a failed assertion if the socket
 * fails or is closed meanwhile.
 */
export class ReadHold {
  #socket: Socket | undefined;
  readonly #holds = new Set<symbol>();

  /** Whether anything holds the connection. */
  get isHeld(): boolean {
    return this.#holds.size > 0;
  }

  /** Applies to a socket that is read by calls of `read`. */
  applyTo(socket: Socket): void {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    // A read of 0 bytes only fills the buffer, or finds the end.
    socket.read = (size?: number) =>
      this.isHeld && size !== 0 ? null : read(size);
  }

  /** Stops reading until the function that is returned is called. */
  hold(): () => void {
    const hold = Symbol();
    this.#holds.add(hold);
    return () => {
      if (this.#holds.delete(hold)) this.#continue();
    };
  }

  /** Ends all holds. */
  clear(): void {
    if (!this.isHeld) return;
    this.#holds.clear();
    this.#continue();
  }

  // The parser cannot run within another run of it, from which the scheduler of
  // the link may call.
  #continue(): void {
    setImmediate(() => {
      if (!this.isHeld && this.#socket?.destroyed === false) {
        this.#socket.emit("readable");
      }
    });
  }
}
