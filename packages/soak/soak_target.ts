import { createServer, request as send } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { GrantRow } from "@kingcupglade/fleet";
import {
  decodeHeartbeatAnswer,
  encodeHeartbeat,
  readWorkerRequest,
  StandInPath,
  workerHeaders,
} from "@kingcupglade/platform";
import type { Holder, Promises } from "./promises.ts";

const heartbeatMilliseconds = 250;
const answerMilliseconds = 900;
const slots = 4;

/** Options of a {@link SoakTarget}. */
export interface SoakTargetOptions {
  readonly name: string;
  readonly service: string;
  readonly isKeyed: boolean;
  /** IP:PORT. */
  readonly address: string;
  /** IP:PORT of every control VM. */
  readonly control: readonly string[];
  readonly promises: Promises;
  readonly random: () => number;
}

/** A stand-in of a target: it checks its holds and runs what it is sent. */
export class SoakTarget implements Holder {
  readonly name: string;
  /** Share of the requests that run and whose answer is lost. */
  lostShare = 0;
  /** Whether it serves on while its heartbeats reach nobody. */
  isCut = false;
  readonly #options: SoakTargetOptions;
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  #sequence = 0;
  #bornAt = 0;
  #life = 0;
  #control = 0;
  #grants: readonly GrantRow[] = [];
  #heldUntil = -Infinity;

  constructor(options: SoakTargetOptions) {
    this.name = options.name;
    this.#options = options;
    if (options.isKeyed) options.promises.watch(this);
  }

  holds(position: number): boolean {
    return this.#server !== undefined && performance.now() < this.#heldUntil &&
      this.#grants.some(({ from, to }) => position >= from && position <= to);
  }

  /** Begins a life that holds nothing. */
  async start(): Promise<void> {
    const [ip, port] = this.#options.address.split(":");
    this.#life += 1;
    this.#sequence = 0;
    this.#bornAt = Date.now();
    this.#grants = [];
    const server = createServer((request, response) =>
      this.#handle(request, response)
    );
    await new Promise<void>((resolve) =>
      server.listen(Number(port), ip, resolve)
    );
    this.#server = server;
    this.#timer = setInterval(() => this.#beat(), heartbeatMilliseconds);
  }

  /** Ends this life at once. */
  crash(): void {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
    this.#heldUntil = -Infinity;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const { isKeyed, promises, random } = this.#options;
    const { id, target, position } = readWorkerRequest(request.headers);
    const isMeant = target === this.name && (!isKeyed || this.holds(position));
    if (!isMeant) {
      response.writeHead(421, workerHeaders({ id, didNotRun: true })).end();
      return;
    }
    promises.noteRun(id, this.name);
    if (isKeyed) promises.noteOwner(id, { target: this.name, position });
    setTimeout(() => {
      if (random() < this.lostShare) return request.socket.destroy();
      response.writeHead(200, workerHeaders({ id, didNotRun: false }));
      response.end(id);
    }, 5 + random() * 40);
  }

  #beat(): void {
    if (this.isCut) return;
    const { service, address, control } = this.#options;
    const [host, port] = control[this.#control % control.length]!.split(":");
    const life = this.#life;
    const sentAt = performance.now();
    const request = send({
      host,
      port,
      method: "PUT",
      path: StandInPath.worker(this.name),
      headers: { "content-type": "application/json" },
      timeout: answerMilliseconds,
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => this.#control += 1);
      response.on("end", () => {
        if (response.statusCode !== 200) this.#control += 1;
        else if (life === this.#life) {
          this.#take(Buffer.concat(chunks).toString(), sentAt);
        }
      });
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => this.#control += 1);
    request.end(encodeHeartbeat({
      service,
      address,
      dataCentre: "a",
      slots,
      isDraining: false,
      sequence: this.#sequence++,
      bornAt: this.#bornAt,
      holds: this.#grants,
    }));
  }

  // The hold counts from when the heartbeat was sent.
  #take(body: string, sentAt: number): void {
    const answer = decodeHeartbeatAnswer(body);
    if (!answer) return;
    this.#grants = answer.grants;
    this.#heldUntil = sentAt + answer.holdMilliseconds;
  }
}
