import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { buildConnector } from "undici";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
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
const controlAddress = `${prefix}.1:7300`;
const gatewayAddress = `${prefix}.2:7301`;
const targetCount = 4;

/** Refuses all connections to the addresses that are connected to first. */
class RefusingNetwork {
  readonly refused = new Set<string>();
  /** Number of addresses that refuse. */
  maximumRefused = 0;
  readonly #connect = buildConnector({});

  readonly connector: buildConnector.connector = (options, callback) => {
    const { hostname } = options;
    if (this.refused.size < this.maximumRefused) this.refused.add(hostname);
    if (!this.refused.has(hostname)) return this.#connect(options, callback);
    setImmediate(() => callback(new Error("connect ECONNREFUSED"), null));
  };
}

describe("a request whose targets take no connection", () => {
  const network = new RefusingNetwork();
  const vms: FleetVm[] = [];
  const targets: HeartbeatTarget[] = [];
  let folder: string;
  let nextId = 1;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "unreachable-"));
    vms.push(
      await startRole({
        role: "control",
        ip: `${prefix}.1`,
        seed: controlAddress,
        lines: `dataFolder = ${join(folder, "data")}
[listen]
control = ${controlAddress}`,
      }),
      await startRole({
        role: "gateway",
        ip: `${prefix}.2`,
        seed: controlAddress,
        lines: `[listen]
callers = ${gatewayAddress}
readiness = ${prefix}.2:7302`,
        overrides: { connectToTarget: network.connector },
      }),
    );
    await waitUntil(async () => {
      const { status } = await callControl(
        controlAddress,
        "PATCH",
        "/v1/config",
        {
          upsert: {
            services: [{ name: "catalogue", maxConnections: 10, version: 1 }],
            routes: [
              createRoute("lookup", "safe", "catalogue"),
              createRoute("reserve", "unsafe", "catalogue"),
            ],
          },
        },
      );
      return status === 200;
    });
    for (let index = 0; index < targetCount; index += 1) {
      const target = new HeartbeatTarget({
        name: `target-${index}`,
        service: "catalogue",
        dataCentre: "a",
        control: controlAddress,
      });
      // Each request needs a new connection.
      target.handler = (_request, response) => {
        response.setHeader("connection", "close");
        response.end("whole");
      };
      targets.push(target);
      await target.start(`${prefix}.${10 + index}`);
    }
    await waitUntil(async () => {
      const concurrent = Array.from(
        { length: targetCount * 2 },
        () => sendRequest("/lookup/1"),
      );
      await Promise.all(concurrent);
      return targets.every((each) => each.requests.length > 0);
    });
  });

  afterAll(async () => {
    for (const target of targets) target.stop();
    for (const vm of vms.reverse()) await vm.stop();
    await rm(folder, { recursive: true });
  });

  beforeEach(() => {
    network.refused.clear();
    network.maximumRefused = 2;
  });

  function sendRequest(path: string): Promise<HttpResult> {
    return sendHttp({
      address: gatewayAddress,
      method: path.startsWith("/lookup") ? "GET" : "POST",
      path,
      headers: {
        "host": "jigs.example",
        "x-request-id": `r${nextId++}`,
        "x-deadline-ms": "1000",
      },
    });
  }

  function arrivals(id: string): number {
    return targets.flatMap((each) => each.requests)
      .filter((each) => each === id).length;
  }

  // Guards against a refusal while other targets serve: targets that a request
  // never reached counted as attempts of the route.
  it.each(["/lookup/1", "/reserve/1"])(
    "is served by a third, %s",
    async (path) => {
      const { status } = await sendRequest(path);
      expect(network.refused.size).toBe(2);
      expect(status).toBe(200);
      expect(arrivals(`r${nextId - 1}`)).toBe(1);
    },
  );

  it("is refused when no target takes one", async () => {
    network.maximumRefused = targetCount;
    const { status } = await sendRequest("/reserve/1");
    expect(status).toBe(503);
    expect(arrivals(`r${nextId - 1}`)).toBe(0);
  });
});
