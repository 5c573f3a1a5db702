import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { CuttableNetwork } from "./cuttable_network.ts";
import {
  callControl,
  createRoute,
  HeartbeatTarget,
  sendHttp,
  startRole,
  waitUntil,
} from "./fleet_fixture.ts";
import type { Handler, HttpResult } from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";

const prefix = loopbackPrefix();
export const controlAddress = `${prefix}.1:7300`;
/** Data centre of each gateway and target. */
export const gatewayDataCentres = ["a", "a", "a", "b", "b"];
const targetDataCentres = ["a", "a", "a", "a", "b", "b", "b"];
const workMilliseconds = 60;
const requestIntervalMilliseconds = 15;
/** Covers the noticing of the end of a cut, and the return to own paths. */
const restoreMilliseconds = 2000;

const configuration = {
  upsert: {
    services: [
      { name: "catalogue", maxConnections: 50, version: 1 },
      { name: "stock", maxConnections: 50, sharded: true, version: 1 },
    ],
    routes: [
      createRoute("lookup", "safe", "catalogue"),
      createRoute("reserve", "unsafe", "catalogue"),
      createRoute("stock", "safe", "stock"),
      {
        ...createRoute("home", "safe", "catalogue"),
        allowedRegions: ["north"],
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
      version: 1,
    },
  },
};

/** An attempt of a caller and how it ended. */
export interface Attempt {
  readonly id: string;
  readonly gateway: number;
  readonly path: string;
  readonly sentAt: number;
  /** 0 if the connection failed. */
  readonly status: number;
  readonly body: string;
}

/** One control VM, gateways that can be cut off from all targets, and targets. */
export class CutOffFleet {
  readonly networks = gatewayDataCentres.map(() => new CuttableNetwork());
  readonly targets: HeartbeatTarget[] = [];
  readonly #gateways = new Map<number, FleetVm>();
  #control: FleetVm | undefined;
  #folder = "";
  #nextId = 0;

  async start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "cut-off-"));
    this.#control = await startRole({
      role: "control",
      ip: `${prefix}.1`,
      seed: controlAddress,
      lines:
        `dataFolder = ${this.#folder}\n[listen]\ncontrol = ${controlAddress}`,
    });
    for (const at of gatewayDataCentres.keys()) await this.startGateway(at);
    await waitUntil(async () =>
      (await callControl(controlAddress, "PATCH", "/v1/config", configuration))
        .status === 200
    );
    for (const service of ["catalogue", "stock"]) {
      for (const [at, dataCentre] of targetDataCentres.entries()) {
        await this.#startTarget(service, dataCentre, at);
      }
    }
    const paths = ["/lookup/1", "/stock/1", "/home/1"];
    await waitUntil(async () => {
      const attempts = await Promise.all(
        gatewayDataCentres.flatMap((_, gateway) =>
          paths.map((path) => this.send(path, gateway))
        ),
      );
      return attempts.every(({ status }) => status === 200);
    });
    // The leader names relays once it has heard every gateway and target.
    await pause(1000);
  }

  /** Restores all paths and waits until gateways use them again. */
  async restore(): Promise<void> {
    for (const network of this.networks) network.heal();
    for (const target of this.targets) {
      target.requests.length = 0;
      target.handler = answerAfterWork;
    }
    await pause(restoreMilliseconds);
  }

  async stop(): Promise<void> {
    for (const network of this.networks) network.heal();
    for (const target of this.targets) target.stop();
    await Promise.all(
      [...this.#gateways.keys()].map((at) => this.stopGateway(at)),
    );
    await this.#control?.stop();
    for (const network of this.networks) await network.close();
    await rm(this.#folder, { recursive: true });
  }

  /** IDs of the requests that reached targets, once for each arrival. */
  get arrivals(): readonly string[] {
    return this.targets.flatMap(({ requests }) => requests);
  }

  /** Sends one attempt by a gateway. */
  async send(
    path: string,
    gateway: number,
    body?: string,
  ): Promise<Attempt> {
    const id = `r${this.#nextId++}`;
    const sentAt = performance.now();
    const result = await sendHttp({
      address: `${gatewayIp(gateway)}:7301`,
      method: body === undefined ? "GET" : "POST",
      path,
      headers: {
        host: "jigs.example",
        "x-request-id": id,
        "x-deadline-ms": "900",
        "x-shard-key": String((this.#nextId * 7919) % 65_536),
      },
      ...(body !== undefined && { body }),
    }).catch((): HttpResult => ({ status: 0, headers: {}, body: "" }));
    const { status } = result;
    return { id, gateway, path, sentAt, status, body: String(result.body) };
  }

  async startGateway(gateway: number): Promise<void> {
    const ip = gatewayIp(gateway);
    this.#gateways.set(
      gateway,
      await startRole({
        role: "gateway",
        name: `gateway-${gateway}`,
        dataCentre: gatewayDataCentres[gateway]!,
        ip,
        seed: controlAddress,
        lines: `[listen]\ncallers = ${ip}:7301\nreadiness = ${ip}:7302`,
        overrides: { connectToTarget: this.networks[gateway]!.connector },
      }),
    );
  }

  /** Stops a gateway as planned. */
  async stopGateway(gateway: number): Promise<void> {
    const stopped = this.#gateways.get(gateway);
    this.#gateways.delete(gateway);
    await stopped?.stop();
  }

  /** Sends requests by all gateways in turn. */
  sendSteadily(milliseconds: number): Promise<readonly Attempt[]> {
    return this.sendThrough([...gatewayDataCentres.keys()], milliseconds);
  }

  /** Sends requests by the given gateways in turn. */
  async sendThrough(
    gateways: readonly number[],
    milliseconds: number,
  ): Promise<readonly Attempt[]> {
    const paths = ["/lookup/1", "/reserve/1", "/stock/1"];
    const attempts: Promise<Attempt>[] = [];
    const startedAt = performance.now();
    while (performance.now() - startedAt < milliseconds) {
      const at = attempts.length;
      attempts.push(
        this.send(paths[at % 3]!, gateways[at % gateways.length]!),
      );
      await pause(
        startedAt + attempts.length * requestIntervalMilliseconds -
          performance.now(),
      );
    }
    return await Promise.all(attempts);
  }

  async #startTarget(
    service: string,
    dataCentre: string,
    at: number,
  ): Promise<void> {
    const target = new HeartbeatTarget({
      name: `${service}-${at}`,
      service,
      dataCentre,
      control: controlAddress,
    });
    target.handler = answerAfterWork;
    this.targets.push(target);
    const first = service === "stock" ? 100 : 50;
    await target.start(`${prefix}.${first + at}`);
  }
}

/** Responds with the number of bytes that it has read. */
export const answerAfterWork: Handler = (received, response) => {
  let bytes = 0;
  received.on("data", (chunk: Buffer) => (bytes += chunk.length));
  received.on(
    "end",
    () => setTimeout(() => response.end(`whole${bytes}`), workMilliseconds),
  );
};

export function gatewayIp(gateway: number): string {
  return `${prefix}.${10 + gateway}`;
}
