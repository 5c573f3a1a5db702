import type { Socket } from "node:net";

/**
 * Bytes of a response that may be parsed without its head, a part of its body or
 * its end being recognised in them.
 */
const maximumBytesWithoutProgress = 16 * 1024;

/** Thrown when a target sends bytes that make no progress in a response. */
export class EndlessResponseError extends Error {
  override readonly name = "EndlessResponseError";
}

/**
 * Bounds what the parser of a connection receives between two signs of
 * progress, so that a target which sends a head, trailers or the like without
 * end costs neither memory nor processor time.
 */
export class ReadAllowance {
  #left = maximumBytesWithoutProgress;

  /** Records progress: a final head, a part of a body, or a new request. */
  renew(): void {
    this.#left = maximumBytesWithoutProgress;
  }

  /**
   * Applies the allowance to a socket that is read by calls of `read`; a socket
   * that exceeds it is destroyed with an {@link EndlessResponseError}.
   *
   * @param onRead Called with what was read.
   */
  limit(socket: Socket, onRead: (bytes: Buffer) => void = () => {}): void {
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      // What was received before the socket was destroyed is of no use.
      if (socket.destroyed) return null;
      if (this.#left <= 0) {
        socket.destroy(
          new EndlessResponseError(
            `${maximumBytesWithoutProgress} bytes of the response brought no progress`,
          ),
        );
        return null;
      }
      // The parser does not stop within the bytes that it is given.
      const isTooLong = size === undefined &&
        socket.readableLength > this.#left;
      const chunk = isTooLong ? read(this.#left) : read(size);
      this.#left -= chunk?.length ?? 0;
      if (chunk) onRead(chunk);
      return chunk;
    };
    // The parser puts back what it received and did not parse.
    const unshift = socket.unshift.bind(socket);
    socket.unshift = (chunk, encoding) => {
      this.#left += chunk.length;
      unshift(chunk, encoding);
    };
  }
}
