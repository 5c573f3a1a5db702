import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  callControl,
  createRoute,
  HeartbeatTarget,
  sendHttp,
  startRole,
  waitUntil,
} from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";

const prefix = loopbackPrefix();
const controlAddress = `${prefix}.1:7300`;
const workMilliseconds = 90;
const requestsPerSecond = 80;
/** Limit that a target names, in requests per second. */
const limit = 2;
const windowMilliseconds = 4000;
/** Requests in one window after which a limited target counts as overrun. */
const maximumInWindow = 1.5 * limit * windowMilliseconds / 1000 + 5;
/** The limit must be kept this long after it was first named. */
const settleMilliseconds = 3000;
/** A gateway counts this long after it forwarded a response with a limit. */
const noticeMilliseconds = 500;

const configuration = {
  upsert: {
    services: [
      { name: "catalogue", maxConnections: 50, version: 1 },
      { name: "stock", maxConnections: 50, sharded: true, version: 1 },
    ],
    routes: [
      createRoute("lookup", "safe", "catalogue"),
      createRoute("stock", "safe", "stock"),
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1000,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
      version: 1,
    },
  },
};

/** Targets of a fleet, and the data centre of each of its gateways. */
interface FleetLayout {
  readonly gateways: readonly string[];
  readonly targets: readonly {
    readonly name: string;
    readonly service: string;
    readonly dataCentre: string;
  }[];
}

/** One control VM, several gateways, and targets that may name a limit. */
class LimitedFleet {
  /** Names of the targets that name the limit. */
  readonly limited = new Set<string>();
  readonly targets: readonly HeartbeatTarget[];
  readonly #vms: FleetVm[] = [];
  #folder = "";
  #nextId = 0;
  /** Data centre of each gateway. */
  readonly #gateways: readonly string[];
  /** When each gateway first forwarded a response with a limit, by number. */
  readonly #toldAt = new Map<number, number>();
  /** Arrivals at limited targets: the time and the number of the gateway. */
  readonly #arrivals: { readonly at: number; readonly gateway: number }[] = [];

  constructor({ gateways, targets }: FleetLayout) {
    this.#gateways = gateways;
    this.targets = targets.map((options) => {
      const { name } = options;
      const target = new HeartbeatTarget({
        ...options,
        control: controlAddress,
      });
      let running = 0;
      target.handler = (request, response) => {
        if (this.limited.has(name)) {
          const gateway = Number(request.headers["x-gateway"]);
          this.#arrivals.push({ at: performance.now(), gateway });
          response.setHeader("server-limit", String(limit));
        }
        running += 1;
        setTimeout(() => {
          running -= 1;
          // Targets that report equal speed share the requests evenly.
          response.setHeader("x-instance-load", `${running},0,4,100`);
          response.end("whole");
        }, workMilliseconds);
      };
      return target;
    });
  }

  async start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "limits-"));
    this.#vms.push(
      await startRole({
        role: "control",
        ip: `${prefix}.1`,
        seed: controlAddress,
        lines:
          `dataFolder = ${this.#folder}\n[listen]\ncontrol = ${controlAddress}`,
      }),
    );
    for (const [gateway, dataCentre] of this.#gateways.entries()) {
      const ip = gatewayIp(gateway);
      this.#vms.push(
        await startRole({
          role: "gateway",
          name: `gateway-${gateway}`,
          dataCentre,
          ip,
          seed: controlAddress,
          lines: `[listen]\ncallers = ${ip}:7301\nreadiness = ${ip}:7302`,
        }),
      );
    }
    await waitUntil(async () =>
      (await callControl(controlAddress, "PATCH", "/v1/config", configuration))
        .status === 200
    );
    for (const [at, target] of this.targets.entries()) {
      await target.start(`${prefix}.${50 + at}`);
    }
    await waitUntil(async () => {
      const statuses = await Promise.all(
        Array.from(
          { length: this.#gateways.length * 2 },
          (_, at) => this.#send(at % 2 === 0 ? "lookup" : "stock", at >> 1),
        ),
      );
      return statuses.every((status) => status === 200);
    });
    // The leader chooses managers once it has heard every gateway and target.
    await pause(1000);
  }

  async stop(): Promise<void> {
    for (const target of this.targets) target.stop();
    const [control, ...gateways] = this.#vms;
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    await control?.stop();
    await rm(this.#folder, { recursive: true });
  }

  /** Sends requests at a steady rate; returns the share that was answered. */
  async sendLoad(route: string, milliseconds: number): Promise<number> {
    const responses: Promise<number>[] = [];
    const startedAt = performance.now();
    while (performance.now() - startedAt < milliseconds) {
      responses.push(
        this.#send(route, responses.length % this.#gateways.length),
      );
      await pause(
        startedAt + responses.length * 1000 / requestsPerSecond -
          performance.now(),
      );
    }
    const statuses = await Promise.all(responses);
    return statuses.filter((status) => status === 200).length /
      statuses.length;
  }

  /**
   * Returns the largest number of requests that limited targets received within
   * a window, after a time, from gateways that knew of the limit.
   */
  highestInWindow(since: number): number {
    const counted = this.#arrivals.filter(({ at, gateway }) =>
      at >= since &&
      at >= (this.#toldAt.get(gateway) ?? Infinity) + noticeMilliseconds
    );
    return Math.max(
      0,
      ...counted.map(({ at: start }) =>
        counted.filter(({ at }) =>
          at >= start && at < start + windowMilliseconds
        )
          .length
      ),
    );
  }

  async #send(route: string, gateway: number): Promise<number> {
    const id = this.#nextId++;
    const { status, headers } = await sendHttp({
      address: `${gatewayIp(gateway)}:7301`,
      method: "GET",
      path: `/${route}/1`,
      headers: {
        host: "jigs.example",
        "x-request-id": `r${id}`,
        "x-deadline-ms": "900",
        "x-shard-key": String(id * 7919 % 65_536),
        "x-gateway": String(gateway),
      },
    });
    if (headers["server-limit"] !== undefined && !this.#toldAt.has(gateway)) {
      this.#toldAt.set(gateway, performance.now());
    }
    return status;
  }
}

function gatewayIp(gateway: number): string {
  return `${prefix}.${10 + gateway}`;
}

function targetsOf(
  dataCentre: string,
  service: string,
  names: readonly string[],
): FleetLayout["targets"] {
  return names.map((name) => ({ name, service, dataCentre }));
}

// Guards against gateways that together send a target more requests than the
// limit that it names (incident hpjw-library-limit).
describe("targets that name a limit of requests", () => {
  for (const gateways of [6, 3]) {
    const kind = gateways < 5 ? "choose targets" : "have managers";
    describe(`of ${gateways} gateways, which ${kind}`, () => {
      let fleet: LimitedFleet;

      beforeEach(async () => {
        fleet = new LimitedFleet({
          gateways: Array.from({ length: gateways }, () => "a"),
          targets: [
            ...targetsOf("a", "catalogue", ["spare-1", "spare-2", "needy"]),
            ...targetsOf("a", "stock", ["owner"]),
          ],
        });
        await fleet.start();
      });

      afterEach(() => fleet.stop());

      it("receive no more from all gateways together while others serve", async () => {
        fleet.limited.add("needy");
        const namedAt = performance.now();
        const share = await fleet.sendLoad("lookup", 10_000);
        expect(fleet.highestInWindow(namedAt + settleMilliseconds))
          .toBeLessThanOrEqual(maximumInWindow);
        expect(share).toBeGreaterThan(0.95);
        // Once no limit is named, the target receives its share again.
        fleet.limited.clear();
        await fleet.sendLoad("lookup", 3000);
        const needy = fleet.targets[2]!;
        needy.requests.length = 0;
        await fleet.sendLoad("lookup", 2000);
        expect(needy.requests.length).toBeGreaterThan(maximumInWindow);
      });

      it("receive no more if they own the keys", async () => {
        fleet.limited.add("owner");
        const namedAt = performance.now();
        await fleet.sendLoad("stock", 10_000);
        const highest = fleet.highestInWindow(namedAt + settleMilliseconds);
        expect(highest).toBeLessThanOrEqual(maximumInWindow);
        // The limit is used, too.
        expect(highest).toBeGreaterThan(limit);
      });
    });
  }

  describe("which are all that a data centre has", () => {
    it("leave the other requests to targets elsewhere", async () => {
      const fleet = new LimitedFleet({
        gateways: ["a", "a", "a", "b", "b", "b"],
        targets: [
          ...targetsOf("a", "catalogue", ["needy-1", "needy-2"]),
          ...targetsOf("b", "catalogue", ["spare-1", "spare-2", "spare-3"]),
          ...targetsOf("b", "stock", ["owner"]),
        ],
      });
      await fleet.start();
      fleet.limited.add("needy-1").add("needy-2");
      const share = await fleet.sendLoad("lookup", 8000);
      await fleet.stop();
      expect(share).toBeGreaterThan(0.95);
    });
  });
});
