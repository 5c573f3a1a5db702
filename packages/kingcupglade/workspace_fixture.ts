import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { decodeWatch, PeerClients } from "@kingcupglade/fleet_control";
import { Fleet } from "@kingcupglade/protocol";
import { RateLimitedLogger } from "@kingcupglade/telemetry";
import { CuttableNetwork } from "./cuttable_network.ts";
import {
  callControl,
  createRoute,
  HeartbeatTarget,
  sendHttp,
  startRole,
  waitUntil,
} from "./fleet_fixture.ts";
import type { HttpResult } from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";

const prefix = loopbackPrefix();
export const controlAddress = `${prefix}.1:7300`;
const gatewayCount = 3;
/** A gateway tells a cut of its own from lost targets by several of them. */
const targetDataCentres = ["a", "a", "a", "a", "b", "b", "b"];
export const revokeSeconds = 3;

export const keys = { acme: "key-of-acme-1", other: "key-of-acme-2" } as const;

/** Returns a workspace as operators write it. */
export function createTenant(
  name: string,
  apiKeys: readonly string[],
  version: number,
  more: Readonly<Record<string, unknown>> = {},
) {
  return { name, apiKeys, ratePerS: 100, burst: 100, ...more, version };
}

const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 50, version: 1 }],
    routes: [
      createRoute("lookup", "safe", "catalogue"),
      { ...createRoute("open", "safe", "catalogue"), public: true },
      {
        ...createRoute("south", "safe", "catalogue"),
        allowedRegions: ["south"],
      },
    ],
  },
};

/** A request as a target received it. */
export interface Arrival {
  readonly id: string;
  readonly headers: HttpResult["headers"];
  /** Time of the arrival, as `performance.now()`. */
  readonly at: number;
}

/** Log lines of all VMs, for the search for keys; limited in rate as theirs. */
class CapturedLog {
  readonly lines: string[] = [];
  readonly logger = new RateLimitedLogger({
    debug: () => {},
    info: (event: string, fields?: object) => this.#add(event, fields),
    warn: (event: string, fields?: object) => this.#add(event, fields),
    error: (event: string, fields?: object) => this.#add(event, fields),
  }, () => performance.now());

  #add(event: string, fields?: object): void {
    this.lines.push(JSON.stringify({ event, ...fields }));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** One control VM, and gateways that can be cut off from it or from targets. */
export class WorkspaceFleet {
  readonly arrivals: Arrival[] = [];
  readonly log = new CapturedLog();
  readonly networks = Array.from(
    { length: gatewayCount },
    () => new CuttableNetwork(),
  );
  readonly #cutOff = new Set<string>();
  readonly #vms: FleetVm[] = [];
  readonly #targets = targetDataCentres.map((dataCentre, at) =>
    new HeartbeatTarget({
      name: `t-${at}`,
      service: "catalogue",
      dataCentre,
      control: controlAddress,
    })
  );
  readonly #client = PeerClients.prototype.client;
  readonly #sections: string;
  #folder = "";
  #nextId = 0;

  /** @param sections Sections of the settings. @default a bound on revocations */
  constructor(sections = `[workspaces]\nrevokeSeconds = ${revokeSeconds}`) {
    this.#sections = sections;
  }

  async start(): Promise<void> {
    this.#interceptWatches();
    this.#folder = await mkdtemp(join(tmpdir(), "workspaces-"));
    await this.#startVm(
      "control",
      `${prefix}.1`,
      `dataFolder = ${this.#folder}\n[listen]\ncontrol = ${controlAddress}`,
    );
    for (const at of this.networks.keys()) {
      const ip = gatewayIp(at);
      await this.#startVm(
        "gateway",
        ip,
        `[listen]\ncallers = ${ip}:7301\nreadiness = ${ip}:7302`,
        at,
      );
    }
    await waitUntil(async () =>
      (await this.change(configuration)).status === 200
    );
    for (const [at, target] of this.#targets.entries()) {
      target.handler = ({ headers }, response) => {
        this.arrivals.push({
          id: String(headers["x-request-id"]),
          headers,
          at: performance.now(),
        });
        response.end("whole");
      };
      await target.start(`${prefix}.${50 + at}`);
    }
    await this.waitForAll("/open/1", undefined, 200);
  }

  async stop(): Promise<void> {
    for (const target of this.#targets) target.stop();
    for (const network of this.networks) network.heal();
    const [control, ...gateways] = this.#vms;
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    await control?.stop();
    for (const network of this.networks) await network.close();
    PeerClients.prototype.client = this.#client;
    await rm(this.#folder, { recursive: true });
  }

  /** Changes the configuration. */
  change(document: unknown): Promise<HttpResult> {
    return callControl(controlAddress, "PATCH", "/v1/config", document);
  }

  /** Sends a body that need not be JSON, and returns the response's body. */
  async changeByText(body: string): Promise<string> {
    const call = { address: controlAddress, method: "PATCH", body } as const;
    const result = await sendHttp({ ...call, path: "/v1/config" });
    return String(result.body);
  }

  readConfiguration(): Promise<HttpResult> {
    return callControl(controlAddress, "GET", "/v1/config");
  }

  /** Adds or replaces a workspace, and waits until all gateways know it. */
  async addTenant(tenant: ReturnType<typeof createTenant>): Promise<void> {
    const { status, body } = await this.change({
      upsert: { tenants: [tenant] },
    });
    if (status !== 200) throw new Error(JSON.stringify(body));
    for (const key of tenant.apiKeys) {
      await this.waitForAll("/lookup/1", key, 200);
    }
  }

  /** Sends a request by a gateway; returns the response and the ID. */
  async send(
    path: string,
    options: {
      readonly gateway?: number;
      readonly key?: string | undefined;
      readonly headers?: Record<string, string | readonly string[]>;
    } = {},
  ): Promise<HttpResult & { readonly id: string }> {
    const { gateway = 0, key, headers } = options;
    const id = `r${this.#nextId++}`;
    const result = await sendHttp({
      address: `${gatewayIp(gateway)}:7301`,
      method: "GET",
      path,
      headers: {
        host: "jigs.example",
        "x-request-id": id,
        "x-deadline-ms": "900",
        ...(key !== undefined && { authorization: `Bearer ${key}` }),
        ...headers,
      },
    });
    return { ...result, id };
  }

  /** Waits until all gateways answer requests with a status. */
  async waitForAll(
    path: string,
    key: string | undefined,
    status: number,
  ): Promise<void> {
    await waitUntil(async () => {
      const responses = await Promise.all(
        [...this.networks.keys()].map((gateway) =>
          this.send(path, { gateway, key })
        ),
      );
      return responses.every((each) => each.status === status);
    });
  }

  /** Returns the status by which a gateway tells whether it is ready. */
  async readiness(gateway: number): Promise<number> {
    const address = `${gatewayIp(gateway)}:7302`;
    return (await sendHttp({ address, method: "GET", path: "/" })).status;
  }

  /** Cuts a gateway off from control. */
  cutOffFromControl(gateway: number): void {
    this.#cutOff.add(`gateway-${gateway}`);
  }

  healControl(): void {
    this.#cutOff.clear();
  }

  async #startVm(
    role: "control" | "gateway",
    ip: string,
    lines: string,
    at = 1,
  ): Promise<void> {
    const network = role === "gateway" ? this.networks[at]! : undefined;
    this.#vms.push(
      await startRole({
        role,
        name: `${role}-${at}`,
        ip,
        seed: controlAddress,
        lines,
        sections: this.#sections,
        overrides: {
          log: this.log as never,
          ...(network && { connectToTarget: network.connector }),
        },
      }),
    );
  }

  #interceptWatches(): void {
    const original = this.#client;
    const cutOff = this.#cutOff;
    PeerClients.prototype.client = function (
      this: PeerClients,
      address,
      service,
    ) {
      const client = original.call(this, address, service) as never;
      if ((service as unknown) !== Fleet) return client;
      const { watch } = client as {
        readonly watch: (
          request: { readonly watch: Uint8Array },
          options: object,
        ) => Promise<unknown>;
      };
      return {
        ...client as object,
        watch: async (request: { watch: Uint8Array }, options: object) => {
          const { gateway } = decodeWatch(request.watch);
          const check = () => {
            if (cutOff.has(gateway)) throw new Error("cut off by the test");
          };
          check();
          const response = await watch(request, options);
          check();
          return response;
        },
      } as never;
    } as typeof original;
  }
}

export function gatewayIp(gateway: number): string {
  return `${prefix}.${10 + gateway}`;
}
