import { createServer, request as send } from "node:http";
import type {
  IncomingMessage,
  RequestOptions,
  Server,
  ServerResponse,
} from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import type { GrantedRange } from "@kingcupglade/fleet";
import {
  decodeHeartbeatResponse,
  encodeHeartbeat,
  SimulatorPath,
} from "@kingcupglade/platform";
import { startFleetVm } from "./fleet_vm.ts";
import type { FleetVm, FleetVmOverrides } from "./fleet_vm.ts";
import { parseFleetSettings } from "./settings/read.ts";

const peerPort = 7390;
const targetPort = 7400;
/** Slots of each target. */
const slots = 4;
/** Start of each target, in Unix milliseconds. */
const bornAt = 1000;

/** Returns a route of the host `jigs.example`. */
export function createRoute(name: string, routeType: string, service: string) {
  return {
    name,
    host: "jigs.example",
    pathPrefix: `/${name}/`,
    routeType,
    timeoutS: 1,
    targetLatencyS: 0.5,
    priority: 1,
    service,
    maxAttempts: 2,
    version: 1,
  };
}

/** A VM of a fleet. */
export interface RoleOptions {
  readonly role: "control" | "gateway";
  /** @default the role and "-1" */
  readonly name?: string;
  /** @default "a" */
  readonly dataCentre?: string;
  readonly ip: string;
  /** Control address of the seed, as IP:PORT, or several with commas. */
  readonly seed: string;
  /** Number of control VMs that may be lost. @default 0 */
  readonly toleratedLosses?: number;
  /** Lines that follow the section of the VM, up to the listener for peers. */
  readonly lines: string;
  /** Further sections of the settings. @default none */
  readonly sections?: string;
  readonly overrides?: FleetVmOverrides;
}

/** Starts a VM of a fleet in this process. */
export async function startRole(options: RoleOptions): Promise<FleetVm> {
  const text = createSettingsText(options);
  const settings = parseFleetSettings(text, `${options.role}.ini`)!;
  return await startFleetVm(settings, () => {}, options.overrides);
}

/** Returns the settings of a VM of a fleet. */
export function createSettingsText(options: RoleOptions): string {
  const { role, name = `${role}-1`, ip, seed, lines } = options;
  const { dataCentre = "a", sections = "", toleratedLosses = 0 } = options;
  return `[vm]
name = ${name}
role = ${role}
dataCentre = ${dataCentre}
region = north
${lines}
peers = ${ip}:${peerPort}
[control]
seeds = ${seed}
mayFound = true
toleratedLosses = ${toleratedLosses}
heartbeatSeconds = 0.2
[regions]
a = north
b = south
${sections}
[log]
level = silent
`;
}

/** Responds to a request at a {@link HeartbeatTarget}. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Options of a {@link HeartbeatTarget}. */
export interface HeartbeatTargetOptions {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Control address of the VM that receives the heartbeats, as IP:PORT. */
  readonly control: string;
}

/** A target that sends heartbeats and responds with a replaceable handler. */
export class HeartbeatTarget {
  /** IDs of the requests that have arrived. */
  readonly requests: string[] = [];
  handler: Handler = (_request, response) => response.end("whole");
  readonly #options: HeartbeatTargetOptions;
  readonly #server: Server;
  #address = "";
  #sequence = 0;
  #holds: readonly GrantedRange[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: HeartbeatTargetOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      const id = String(request.headers["x-request-id"]);
      this.requests.push(id);
      response.setHeader("x-request-id", id);
      response.setHeader("x-response-signature", options.name);
      this.handler(request, response);
    });
  }

  /** Listens at an IP address and sends heartbeats until {@link stop}. */
  async start(ip: string): Promise<void> {
    this.#address = `${ip}:${targetPort}`;
    await new Promise<void>((resolve) =>
      this.#server.listen(targetPort, ip, resolve)
    );
    this.#timer = setInterval(() => void this.sendHeartbeat("ready"), 100);
  }

  async sendHeartbeat(state: "ready" | "draining"): Promise<void> {
    const { name, service, dataCentre, control } = this.#options;
    const { body } = await sendHttp({
      address: control,
      method: "PUT",
      path: SimulatorPath.worker(name),
      body: encodeHeartbeat({
        service,
        address: this.#address,
        dataCentre,
        slots,
        isDraining: state === "draining",
        sequence: this.#sequence++,
        bornAt,
        holds: this.#holds,
      }),
    });
    this.#holds = decodeHeartbeatResponse(String(body))?.grants ?? [];
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** A complete response. */
export interface HttpResult {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: unknown;
}

/** Sends a request and receives the complete response. */
export function sendHttp(options: {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string | readonly string[]>;
  readonly body?: string;
}): Promise<HttpResult> {
  const [host, port] = options.address.split(":");
  return new Promise((resolve, reject) => {
    const sent = { ...options, host, port } as RequestOptions;
    const request = send(sent, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () => {
        const { statusCode = 0, headers } = response;
        const body = Buffer.concat(chunks).toString();
        resolve({ status: statusCode, headers, body });
      });
    });
    request.on("error", reject);
    request.end(options.body);
  });
}

/** Calls a control VM, at IP:PORT. */
export async function callControl(
  address: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<HttpResult> {
  const result = await sendHttp({
    address,
    method,
    path,
    ...(body !== undefined && { body: JSON.stringify(body) }),
  });
  return { ...result, body: JSON.parse(String(result.body)) };
}

/** Waits until a condition holds, for 15 s at most. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const startedAt = performance.now();
  while (!await condition()) {
    if (performance.now() - startedAt > 15_000) throw new Error("timed out");
    await pause(50);
  }
}
