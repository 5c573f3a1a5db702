import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

/** How a target marks the end of a body. */
export const TargetFraming = {
  length: "length",
  chunks: "chunks",
  connection: "connection",
} as const;
export type TargetFraming = typeof TargetFraming[keyof typeof TargetFraming];

/** A response as a target means it. */
export interface MeantResponse {
  readonly status: number;
  readonly body: string;
  readonly framing: TargetFraming;
  /** Whether the target ends its connection in order before the end. */
  isCutInOrder: boolean;
}

/** Where a copy of an earlier response is written. */
export const CopyPlace = {
  before: "before",
  within: "within",
  /** Behind the response, in the same write. */
  joined: "joined",
  /** Later, whatever the target sends then. */
  late: "late",
} as const;
export type CopyPlace = typeof CopyPlace[keyof typeof CopyPlace];

interface Connection {
  received: string;
  /** Bytes of a request's body that were responded to before they arrived. */
  skippedBytes: number;
  /** All of the responses that were written, in order. */
  readonly sent: string[];
  /** Names of the requests that it carried. */
  readonly names: Set<string>;
  isSilent: boolean;
}

const statuses = [200, 200, 200, 200, 200, 200, 200, 404, 500, 204] as const;
const sizes = [0, 3, 200, 1000, 3000, 30_000, 30_000, 300_000] as const;

/**
 * A target whose responses, copies, pauses and faults depend on a seed alone; the
 * orders in which they are read do not.
 */
export class StutteringTarget {
  /** What the target means to respond to each attempt, by the names of requests. */
  readonly meant = new Map<string, MeantResponse[]>();
  /** Number of copies, by their place. */
  readonly copies = new Map<CopyPlace, number>();
  /**
   * Names of requests that came twice on one connection, where a copy of the first
   * response would pass for the second.
   */
  readonly repeated: string[] = [];
  /** Number of responses on connections that had carried others. */
  reusedCount = 0;
  readonly #random: () => number;
  readonly #copyShare: number;
  readonly #breakShare: number;
  readonly #openShare: number;
  /** Responses before the first copy. */
  #soundCount: number;
  readonly #connections = new WeakMap<Socket, Connection>();

  constructor(random: () => number) {
    this.#random = random;
    this.#copyShare = this.#pick([0.1, 0.25, 0.6]);
    this.#breakShare = this.#pick([0, 0.02, 0.1]);
    this.#openShare = this.#pick([0, 0.1, 0.4]);
    this.#soundCount = Math.floor(random() * 20);
  }

  /** Receives bytes of requests, which may hold parts of one. */
  receive(socket: Socket, text: string): void {
    const connection = this.#connections.get(socket) ??
      {
        received: "",
        skippedBytes: 0,
        sent: [],
        names: new Set(),
        isSilent: false,
      };
    this.#connections.set(socket, connection);
    connection.received += text.slice(connection.skippedBytes);
    connection.skippedBytes = Math.max(
      0,
      connection.skippedBytes - text.length,
    );
    for (;;) {
      const headEnd = connection.received.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const head = connection.received.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      const end = headEnd + 4 + length;
      const isEarly = this.#happens(0.3);
      if (!isEarly && connection.received.length < end) return;
      connection.skippedBytes = Math.max(0, end - connection.received.length);
      connection.received = connection.received.slice(end);
      const name = head.split(" ")[1]!.slice(1);
      if (connection.names.has(name)) this.repeated.push(name);
      connection.names.add(name);
      void this.#respond(socket, connection, name, head.startsWith("HEAD"));
    }
  }

  async #respond(
    socket: Socket,
    connection: Connection,
    name: string,
    isHead: boolean,
  ): Promise<void> {
    if (connection.isSilent) return;
    const attempts = this.meant.get(name) ?? [];
    const { meant, text } = this.#createResponse(name, {
      isHead,
      attempt: attempts.length,
    });
    this.meant.set(name, [...attempts, meant]);
    if (connection.sent.length > 0) this.reusedCount += 1;
    const pieces = this.#divide(this.#addCopy(text, connection));
    connection.sent.push(text);
    const endAt = this.#happens(this.#breakShare)
      ? Math.floor(this.#random() * pieces.length)
      : pieces.length;
    for (const [at, piece] of pieces.entries()) {
      if (at > 0 || this.#happens(0.3)) await pause(this.#random() * 8);
      if (at === endAt) return this.#breakOff(socket, connection, meant);
      socket.write(piece, "latin1");
    }
    const { framing } = meant;
    if (framing === TargetFraming.connection && meant.status !== 204) {
      socket.end();
    } else if (this.#mayCopy()) void this.#copyLate(socket, connection);
  }

  #breakOff(
    socket: Socket,
    connection: Connection,
    meant: MeantResponse,
  ): void {
    const kind = this.#random();
    if (kind < 0.4) {
      meant.isCutInOrder = true;
      socket.end();
    } else if (kind < 0.8) socket.resetAndDestroy();
    else connection.isSilent = true;
  }

  async #copyLate(socket: Socket, connection: Connection): Promise<void> {
    const copy = this.#pick(connection.sent);
    this.#countCopy(CopyPlace.late);
    await pause(this.#random() * 30);
    if (socket.writable && !connection.isSilent) socket.write(copy, "latin1");
  }

  #addCopy(text: string, { sent }: Connection): string {
    if (!this.#mayCopy()) return text;
    if (sent.length === 0) {
      if (!this.#happens(0.3)) return text;
      this.#countCopy(CopyPlace.joined);
      return text + text;
    }
    const copy = this.#pick(sent);
    const place = this.#pick(
      [CopyPlace.before, CopyPlace.within, CopyPlace.within, CopyPlace.joined],
    );
    this.#countCopy(place);
    if (place === CopyPlace.before) return copy + text;
    if (place === CopyPlace.joined) return text + copy;
    const at = Math.floor(this.#random() * text.length);
    return text.slice(0, at) + copy + text.slice(at);
  }

  #mayCopy(): boolean {
    this.#soundCount -= 1;
    return this.#soundCount < 0 && this.#happens(this.#copyShare / 2);
  }

  #countCopy(place: CopyPlace): void {
    this.copies.set(place, (this.copies.get(place) ?? 0) + 1);
  }

  #createResponse(
    name: string,
    { isHead, attempt }: { readonly isHead: boolean; readonly attempt: number },
  ): { readonly meant: MeantResponse; readonly text: string } {
    const status = this.#pick(statuses);
    const framing = this.#happens(this.#openShare)
      ? TargetFraming.connection
      : this.#happens(0.3)
      ? TargetFraming.chunks
      : TargetFraming.length;
    const size = Math.floor(this.#random() * (this.#pick(sizes) + 1));
    const whole = `${name}.${attempt};`.repeat(size / name.length + 1)
      .slice(0, size);
    const hasBody = !isHead && status !== 204;
    const body = hasBody ? whole : "";
    const id = this.#pick([
      `request: ${name}`,
      `request: ${name}`,
      `request: ${name}`,
      `Request:${name}`,
      `REQUEST: \t ${name} \t`,
      ...(this.#happens(0.05) ? ["other: 1"] : []),
    ]);
    const lines = [
      id,
      `extra: ${"x".repeat(this.#random() * 40)}`,
      `attempt: ${attempt}`,
    ];
    if (this.#happens(0.5)) lines.reverse();
    if (framing === TargetFraming.connection) lines.push("connection: close");
    if (framing === TargetFraming.chunks && status !== 204) {
      lines.push("transfer-encoding: chunked");
    }
    if (framing === TargetFraming.length && status !== 204) {
      lines.push(`content-length: ${size}`);
    }
    const interim = this.#happens(0.06)
      ? "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
      : "";
    const content = hasBody && framing === TargetFraming.chunks
      ? this.#encodeChunks(body)
      : body;
    return {
      meant: { status, body, framing, isCutInOrder: false },
      text: `${interim}HTTP/1.1 ${status} Some\r\n${
        lines.join("\r\n")
      }\r\n\r\n${content}`,
    };
  }

  #encodeChunks(body: string): string {
    const middle = Math.floor(this.#random() * body.length);
    const chunks = [body.slice(0, middle), body.slice(middle)]
      .filter((chunk) => chunk !== "")
      .map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    const trailer = this.#happens(0.3) ? "request: trailer\r\n" : "";
    return `${chunks.join("")}0\r\n${trailer}\r\n`;
  }

  #divide(text: string): readonly string[] {
    const count = this.#happens(0.4) ? 0 : 1 + Math.floor(this.#random() * 3);
    const cuts = Array.from(
      { length: count },
      () => Math.floor(this.#random() * text.length),
    ).sort((one, other) => one - other);
    return [0, ...cuts].map((from, at) => text.slice(from, cuts[at]));
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]!;
  }

  #happens(share: number): boolean {
    return this.#random() < share;
  }
}
