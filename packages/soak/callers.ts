import { Agent, request as send } from "node:http";
import { clientHeaders } from "@kingcupglade/platform";
import { pause } from "./faults.ts";
import type { Promises } from "./promises.ts";

const callers = 10;
const thinkMilliseconds = 20;
const deadlineMilliseconds = 1500;
const positions = 65_536;

/** Kinds of request: path, and whether it may run more than once. */
const kinds = [
  { path: "/lookup/1", method: "GET", mayRepeat: true },
  { path: "/reserve/1", method: "POST", mayRepeat: false },
  { path: "/stock/1", method: "GET", mayRepeat: true },
] as const;

/** Options of {@link Callers}. */
export interface CallersOptions {
  /** IP:PORT of every gateway. */
  readonly gateways: readonly string[];
  readonly promises: Promises;
  readonly random: () => number;
}

/** Callers that keep their connections until the gateway is gone. */
export class Callers {
  readonly #options: CallersOptions;
  readonly #agent = new Agent({ keepAlive: true });
  #running: Promise<void>[] = [];
  #isStopped = false;
  #next = 1;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Waits until each gateway serves each kind. */
  async untilServed(milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    for (const gateway of this.#options.gateways) {
      for (const kind of kinds) {
        while (await this.#ask(gateway, kind) !== 200) {
          if (performance.now() > until) {
            throw new Error(`${gateway} does not serve ${kind.path}`);
          }
          await pause(thinkMilliseconds);
        }
      }
    }
  }

  start(): void {
    this.#running = Array.from({ length: callers }, () => this.#call());
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#running);
    this.#agent.destroy();
  }

  async #call(): Promise<void> {
    const { gateways, random } = this.#options;
    while (!this.#isStopped) {
      const gateway = gateways[Math.floor(random() * gateways.length)]!;
      await this.#ask(gateway, kinds[Math.floor(random() * kinds.length)]!);
      await pause(thinkMilliseconds);
    }
  }

  /** The status of the answer; 0 when there is none. */
  #ask(gateway: string, kind: (typeof kinds)[number]): Promise<number> {
    const { promises, random } = this.#options;
    const [host, port] = gateway.split(":");
    const id = `r${this.#next++}`;
    promises.noteAsked(id, kind.mayRepeat);
    return new Promise((resolve) => {
      const request = send({
        host,
        port,
        agent: this.#agent,
        method: kind.method,
        path: kind.path,
        headers: clientHeaders({
          id,
          host: "jigs.example",
          deadlineMilliseconds,
          position: Math.floor(random() * positions),
        }),
      }, (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => resolve(0));
        response.on("end", () => {
          const status = response.statusCode ?? 0;
          promises.noteAnswer(id, {
            status,
            body: Buffer.concat(chunks).toString(),
          });
          resolve(status);
        });
      });
      const timer = setTimeout(() => request.destroy(), deadlineMilliseconds);
      request.once("close", () => clearTimeout(timer));
      request.once("error", () => resolve(0));
      request.end();
    });
  }
}
