import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";

const endOfHead = "\r\n\r\n";
/** Time after the last request in which its response has to arrive. */
const responseMilliseconds = 5000;

/** Requests that a {@link PacedCaller} sends. */
export interface PacedRequests {
  /** Returns the bytes of the request with a number. */
  readonly encode: (number: number) => string;
  readonly perSecond: number;
  /** Requests that are sent together on one connection. @default 1 */
  readonly pipelined?: number;
  readonly milliseconds: number;
}

/** Numbers of the complete responses by status. */
export type StatusCounts = Readonly<Record<number, number>>;

/**
 * Sends requests at a steady rate, each on the next of several connections. It
 * reads no more of a response than its status and its length.
 */
export class PacedCaller {
  readonly #connections: CallerConnection[];

  protected constructor(connections: CallerConnection[]) {
    this.#connections = connections;
  }

  /** Opens the connections. */
  static async connect(options: {
    readonly host: string;
    readonly port: number;
    readonly connections: number;
  }): Promise<PacedCaller> {
    const { connections, ...address } = options;
    return new PacedCaller(
      await Promise.all(Array.from({ length: connections }, async () => {
        const socket = connect(address);
        socket.setNoDelay(true);
        await once(socket, "connect");
        return new CallerConnection(socket);
      })),
    );
  }

  /**
   * Sends the requests and resolves when each has its response.
   *
   * @throws when a response is missing.
   */
  async send(requests: PacedRequests): Promise<StatusCounts> {
    const { encode, perSecond, pipelined = 1, milliseconds } = requests;
    const total = Math.round(perSecond * milliseconds / 1000);
    const counts: Record<number, number> = {};
    let responses = 0;
    for (const connection of this.#connections) {
      connection.onResponse = (status) => {
        responses += 1;
        counts[status] = (counts[status] ?? 0) + 1;
      };
    }
    const startedAt = performance.now();
    let sent = 0;
    await new Promise<void>((resolve, reject) => {
      const timer = setInterval(() => {
        const passed = performance.now() - startedAt;
        const due = Math.min(total, passed * perSecond / 1000);
        while (sent < due) {
          const at = (sent / pipelined) % this.#connections.length;
          let text = "";
          for (let count = 0; count < pipelined; count += 1) {
            text += encode(sent++);
          }
          this.#connections[at]!.write(text);
        }
        if (responses >= total) {
          clearInterval(timer);
          resolve();
        } else if (passed > milliseconds + responseMilliseconds) {
          clearInterval(timer);
          reject(new Error(`${responses} of ${total} requests have responses`));
        }
      }, 1);
    });
    return counts;
  }

  close(): void {
    for (const connection of this.#connections) connection.close();
  }
}

/** Counts the responses of one connection, all of which state their length. */
class CallerConnection {
  onResponse: (status: number) => void = () => {};
  readonly #socket: Socket;
  #head = "";
  #status = 0;
  #bodyBytes = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("data", (chunk) => this.#read(chunk));
    socket.on("error", () => {});
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0) {
      const length = Math.min(this.#bodyBytes, rest.length);
      this.#bodyBytes -= length;
      rest = rest.subarray(length);
      if (length > 0 && this.#bodyBytes === 0) this.onResponse(this.#status);
      if (rest.length > 0) rest = this.#readHead(rest);
    }
  }

  /** Returns what follows the head. */
  #readHead(chunk: Buffer): Buffer {
    const before = this.#head.length;
    this.#head += chunk.toString("latin1");
    const end = this.#head.indexOf(endOfHead);
    if (end < 0) return Buffer.alloc(0);
    const length = end + endOfHead.length - before;
    this.#status = Number(this.#head.slice("HTTP/1.1 ".length, 12));
    this.#bodyBytes = Number(
      /\r\ncontent-length: (\d+)/i.exec(this.#head)?.[1],
    );
    this.#head = "";
    return chunk.subarray(length);
  }
}
