import { request as send } from "node:http";
import type { OutgoingHttpHeaders } from "node:http";
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
const callersAddress = `${prefix}.2:7301`;
const readinessAddress = `${prefix}.2:7302`;
const metricsAddress = `${prefix}.2:7303`;
const graceSeconds = 3;
const askersPerListener = 5;

const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 40, version: 1 }],
    routes: [
      { ...createRoute("lookup", "safe", "catalogue"), timeoutS: 10 },
      { ...createRoute("reserve", "unsafe", "catalogue"), timeoutS: 10 },
    ],
  },
};

let nextId = 1;

function createHeaders(): OutgoingHttpHeaders {
  return {
    host: "jigs.example",
    "x-request-id": `r${nextId++}`,
    "x-deadline-ms": "2000",
  };
}

/** Returns the status and body of a response, or the code of an error. */
function sendRequest(
  options: {
    readonly address: string;
    readonly path: string;
    readonly method?: string;
  },
): Promise<string> {
  const [host, port] = options.address.split(":");
  return new Promise((resolve) => {
    const request = send(
      { agent: false, ...options, host, port, headers: createHeaders() },
      (response) => {
        let body = "";
        response.on("data", (chunk) => (body += chunk));
        response.once("error", (failure) => resolve(failure.message));
        response.once("end", () => resolve(`${response.statusCode} ${body}`));
      },
    );
    request.once(
      "error",
      (failure: NodeJS.ErrnoException) =>
        resolve(failure.code ?? failure.message),
    );
    request.end();
  });
}

describe("a gateway that stops", () => {
  let folder: string;
  let control: FleetVm;
  let gateway: FleetVm;
  const target = new HeartbeatTarget({
    name: "t1",
    service: "catalogue",
    dataCentre: "a",
    control: controlAddress,
  });

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "gateway-stop-"));
    control = await startRole({
      role: "control",
      ip: `${prefix}.1`,
      seed: controlAddress,
      lines: `dataFolder = ${folder}\n[listen]\ncontrol = ${controlAddress}`,
    });
    gateway = await startRole({
      role: "gateway",
      ip: `${prefix}.2`,
      seed: controlAddress,
      lines: `[stop]
graceSeconds = ${graceSeconds}
[listen]
callers = ${callersAddress}
readiness = ${readinessAddress}
metrics = ${metricsAddress}`,
    });
    await waitUntil(async () => {
      const { status } = await callControl(
        controlAddress,
        "PATCH",
        "/v1/config",
        configuration,
      );
      return status === 200;
    });
    await target.start(`${prefix}.3`);
    await waitUntil(async () => {
      const { status } = await sendHttp({
        address: callersAddress,
        method: "GET",
        path: "/lookup/1",
        headers: createHeaders() as Record<string, string>,
      });
      return status === 200;
    });
  });

  afterEach(async () => {
    target.stop();
    await control.stop();
    await rm(folder, { recursive: true });
  });

  // Guards against requests that are cut while their target works on them.
  it("ends the requests in progress within the grace period", async () => {
    target.handler = (_request, response) =>
      void setTimeout(() => response.end("whole"), 600);
    const ends: string[] = [];
    const asking = ["GET", "POST"].flatMap((method) =>
      Array.from({ length: 2 }, async () => {
        const path = method === "GET" ? "/lookup/1" : "/reserve/1";
        let end: string;
        do {
          end = await sendRequest({ address: callersAddress, path, method });
          ends.push(end);
        } while (end === "200 whole");
      })
    );
    await pause(100);
    const startedAt = performance.now();
    await gateway.stop();
    expect(performance.now() - startedAt).toBeLessThan(graceSeconds * 1000);
    await Promise.all(asking);
    const others = ends.filter((end) =>
      end !== "200 whole" && end !== "ECONNREFUSED" && !end.startsWith("503")
    );
    expect(others).toEqual([]);
    expect(ends.filter((end) => end === "200 whole").length)
      .toBeGreaterThan(4);
  });

  // Guards against probes and scrapes that are reset when a stop ends.
  it("answers readiness probes and scrapes until its end", async () => {
    const addresses = {
      readiness: readinessAddress,
      metrics: metricsAddress,
    };
    const ends: string[] = [];
    const asking = Object.entries(addresses).flatMap(([name, address]) =>
      Array.from({ length: askersPerListener }, async () => {
        let end: string;
        do {
          end = await sendRequest({ address, path: "/" });
        } while (/^\d/.test(end));
        ends.push(`${name}: ${end}`);
      })
    );
    await gateway.stop();
    await Promise.all(asking);
    expect(ends.filter((end) => !end.endsWith("ECONNREFUSED"))).toEqual([]);
  });
});
