import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { RandomSource } from "./random_source.ts";

/** The fault of one response of a target. */
export const Misbehaviour = {
  none: "none",
  /** The connection ends before `content-length` bytes were sent. */
  truncatedLength: "truncatedLength",
  /** The connection ends before the last chunk. */
  truncatedChunks: "truncatedChunks",
  /** Part of the body, without a length; the connection's end delimits it. */
  unframed: "unframed",
  /** Surplus bytes follow the complete response. */
  longer: "longer",
  /** The response is sent twice at once. */
  twice: "twice",
  /** The response is sent after `lateMilliseconds`. */
  late: "late",
  /** The response is sent twice, the second time after a short delay. */
  twiceLater: "twiceLater",
} as const;
export type Misbehaviour = typeof Misbehaviour[keyof typeof Misbehaviour];

/** Options of a {@link MisbehavingTarget}. */
export interface MisbehavingTargetOptions {
  readonly host: string;
  readonly port: number;
  readonly random: RandomSource;
  /** Share of the responses that are faulty, 0 to 1. */
  readonly share: number;
  /** Whether responses echo the id of their exchange. */
  readonly echoesExchange: boolean;
  /** Delay of a late response. */
  readonly lateMilliseconds: number;
}

const misbehaviours = Object.values(Misbehaviour).filter((each) =>
  each !== "none"
);
const secondResponseDelayMilliseconds = 3;

/** A target on a raw socket that sends faulty responses to GET requests. */
export class MisbehavingTarget {
  readonly #options: MisbehavingTargetOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(options: MisbehavingTargetOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** Opens the listener. */
  async start(): Promise<void> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve) =>
      this.#server.listen({ host, port }, resolve)
    );
  }

  /** Closes the listener and every connection. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    socket.on("data", (data) => this.#respond(socket, data.toString()));
  }

  #respond(socket: Socket, head: string): void {
    const { random, share, lateMilliseconds } = this.#options;
    const misbehaviour = random.number() < share
      ? random.pick(misbehaviours)
      : "none";
    const complete = this.#completeResponse(head);
    const truncated = complete.slice(0, -6);
    switch (misbehaviour) {
      case "none":
        return void socket.write(complete);
      case "truncatedLength":
        return void socket.end(truncated);
      case "truncatedChunks":
        return void socket.end(
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        );
      case "unframed":
        return void socket.end("HTTP/1.1 200 OK\r\n\r\nhalf");
      case "longer":
        return void socket.write(`${complete}surplus`);
      case "twice":
        return void socket.write(complete + complete);
      case "late":
        return void setTimeout(() => socket.write(complete), lateMilliseconds);
      case "twiceLater":
        socket.write(complete);
        setTimeout(
          () => socket.write(complete),
          secondResponseDelayMilliseconds,
        );
    }
  }

  #completeResponse(head: string): string {
    const id = /^GET \S*\/(\S+) /.exec(head)?.[1] ?? "";
    const exchange = /^kingcupglade-exchange: (.*)\r$/m.exec(head)?.[1];
    const body = `<${id}>`;
    return [
      "HTTP/1.1 200 OK",
      `content-length: ${body.length}`,
      ...(this.#options.echoesExchange && exchange !== undefined
        ? [`kingcupglade-exchange: ${exchange}`]
        : []),
      "",
      body,
    ].join("\r\n");
  }
}
