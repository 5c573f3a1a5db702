import { mkdtemp, rm } from "node:fs/promises";
import { Agent, request as send } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import {
  callControl,
  createRoute,
  HeartbeatTarget,
  startRole,
  waitUntil,
} from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";
import { SlowLink } from "./slow_link.ts";

export const prefix = loopbackPrefix();
const controlAddress = `${prefix}.1:7300`;
const targetCount = 8;
const workMilliseconds = 40;
const smallBytes = 4000;
const maximumRetries = 2;

const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 100, version: 1 }],
    routes: [
      { ...createRoute("lookup", "safe", "catalogue"), timeoutS: 5 },
      {
        ...createRoute("bundle", "safe", "catalogue"),
        timeoutS: 5,
        priority: 2,
      },
    ],
  },
};

/** One request of a caller, with its retries. */
export interface Use {
  readonly path: string;
  readonly startedAt: number;
  isServed: boolean;
  /** Status of each attempt; 0 if no complete response came in time. */
  readonly statuses: number[];
}

/** A line that the gateway with the slow link has logged. */
export type Line = Readonly<Record<string, unknown>>;

/** A control VM, two gateways of which one has a slow link, and targets. */
export class FullLinkFleet {
  readonly lines: Line[] = [];
  readonly targets: HeartbeatTarget[] = [];
  readonly link: SlowLink;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 200 });
  readonly #vms: FleetVm[] = [];
  readonly #megabitsPerSecond: number | undefined;
  #folder = "";
  #port = 0;
  #nextId = 0;

  constructor(options: {
    readonly linkMegabitsPerSecond: number;
    /** Rate in the settings; undefined for none. */
    readonly megabitsPerSecond: number | undefined;
  }) {
    this.link = new SlowLink(options.linkMegabitsPerSecond);
    this.#megabitsPerSecond = options.megabitsPerSecond;
  }

  async start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "link-"));
    this.#vms.push(
      await startRole({
        role: "control",
        ip: `${prefix}.1`,
        seed: controlAddress,
        lines:
          `dataFolder = ${this.#folder}\n[listen]\ncontrol = ${controlAddress}`,
      }),
    );
    await this.#startGateways();
    await waitUntil(async () =>
      (await callControl(controlAddress, "PATCH", "/v1/config", configuration))
        .status === 200
    );
    for (let at = 0; at < targetCount; at += 1) {
      const target = new HeartbeatTarget({
        name: `catalogue-${at}`,
        service: "catalogue",
        dataCentre: "a",
        control: controlAddress,
      });
      target.handler = (request, response) => {
        const bytes = Number(request.url?.split("/").at(-1));
        setTimeout(
          () => response.end(this.bodyOf(bytes)),
          workMilliseconds,
        );
      };
      this.targets.push(target);
      await target.start(`${prefix}.${50 + at}`);
    }
    await waitUntil(async () =>
      (await this.attempt(`/lookup/${smallBytes}`, 2000)).status === 200
    );
    // The leader names relays once it has heard every gateway and target.
    await pause(1500);
  }

  async stop(): Promise<void> {
    this.#agent.destroy();
    for (const target of this.targets) target.stop();
    for (const vm of this.#vms.reverse()) await vm.stop();
    this.link.close();
    await rm(this.#folder, { recursive: true });
  }

  /** Body of a response of that length, whose bytes tell their positions. */
  bodyOf(length: number): Buffer {
    return Buffer.from(Uint8Array.from({ length }, (_, at) => (at * 7) % 251));
  }

  /** Number of lines of an event. */
  count(event: string): number {
    return this.lines.filter((each) => each["event"] === event).length;
  }

  /** Sends requests at a rate, of which some have large responses. */
  async sendFor(milliseconds: number, factor: number): Promise<readonly Use[]> {
    const uses: Promise<Use>[] = [];
    const startedAt = performance.now();
    const interval = 1000 / (15 * factor);
    while (performance.now() - startedAt < milliseconds) {
      const isLarge = uses.length % 15 === 14;
      uses.push(
        this.use(
          isLarge
            ? `/bundle/${60_000 + (uses.length % 4) * 20_000}`
            : `/lookup/${smallBytes}`,
          isLarge ? 3000 : 1500,
        ),
      );
      await pause(startedAt + uses.length * interval - performance.now());
    }
    return await Promise.all(uses);
  }

  /** Sends a request, and again if it is refused or lost. */
  async use(path: string, deadlineMilliseconds: number): Promise<Use> {
    const startedAt = performance.now();
    const use: Use = { path, startedAt, isServed: false, statuses: [] };
    for (let retry = 0; retry <= maximumRetries; retry += 1) {
      const left = startedAt + deadlineMilliseconds - performance.now();
      const { status, retryAfterMilliseconds } = await this.attempt(
        path,
        left > 50 ? left : deadlineMilliseconds,
      );
      use.statuses.push(status);
      if (status === 200) {
        use.isServed = performance.now() - startedAt <= deadlineMilliseconds;
        return use;
      }
      await pause(retryAfterMilliseconds);
    }
    return use;
  }

  /** Sends one attempt, which its caller leaves after a time. */
  attempt(
    path: string,
    deadlineMilliseconds: number,
    leaveMilliseconds = deadlineMilliseconds,
  ): Promise<{
    readonly status: number;
    readonly retryAfterMilliseconds: number;
    readonly body: Buffer;
  }> {
    const id = `r${this.#nextId++}`;
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      const finish = (status: number, retryAfterMilliseconds = 0) => {
        clearTimeout(timer);
        const body = Buffer.concat(chunks);
        resolve({ status, retryAfterMilliseconds, body });
      };
      const request = send({
        host: "127.0.0.1",
        port: this.#port,
        path,
        agent: this.#agent,
        headers: {
          host: "jigs.example",
          "x-request-id": id,
          "x-deadline-ms": String(Math.floor(deadlineMilliseconds)),
        },
      }, (response) => {
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => finish(0));
        response.on("end", () => {
          const { statusCode = 0, headers } = response;
          const bytes = chunks.reduce((sum, { length }) => sum + length, 0);
          const isWhole = bytes === Number(headers["content-length"]);
          const retryAfter = Number(headers["retry-after"] ?? 0) * 1000;
          finish(isWhole ? statusCode : 0, retryAfter);
        });
      });
      const timer = setTimeout(() => request.destroy(), leaveMilliseconds);
      request.on("error", () => finish(0));
      request.end();
    });
  }

  async #startGateways(): Promise<void> {
    const record = (event: string, fields: Line = {}) =>
      void this.lines.push({ event, ...fields });
    const logger = { debug() {}, info: record, warn: record, error: record };
    const addressOf = (at: number) => `${prefix}.${10 + at}:7301`;
    for (const at of [0, 1]) {
      const ip = `${prefix}.${10 + at}`;
      const isSlow = at === 0;
      const link = isSlow && this.#megabitsPerSecond !== undefined
        ? `[link]\nmegabitsPerSecond = ${this.#megabitsPerSecond}\n`
        : "";
      this.#vms.push(
        await startRole({
          role: "gateway",
          name: `gateway-${at}`,
          ip,
          seed: controlAddress,
          lines: `${link}[listen]\ncallers = ${
            addressOf(at)
          }\nreadiness = ${ip}:7302`,
          overrides: isSlow
            ? {
              connectToTarget: this.link.connector,
              log: { logger } as never,
            }
            : {},
        }),
      );
    }
    this.#port = await this.link.listenFor(addressOf(0));
  }
}

/** Share of uses that were served within their deadlines. */
export function shareOf(uses: readonly Use[]): number {
  return uses.filter(({ isServed }) => isServed).length / uses.length;
}
