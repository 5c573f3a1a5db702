import { mkdtemp, rm } from "node:fs/promises";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { encodeHeartbeat, SimulatorPath } from "@kingcupglade/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
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
const control = `${prefix}.1:7300`;
const gateway = `${prefix}.2:7301`;
const version = 1;
const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 10, version }],
    routes: [createRoute("lookup", "safe", "catalogue")],
  },
};

/** Sends a request as it is written; returns the status and the body. */
async function sendRaw(
  address: string,
  { line, host, body = "" }: {
    readonly line: string;
    readonly host: string;
    readonly body?: string;
  },
): Promise<readonly [status: number, body: string]> {
  const [ip, port] = address.split(":");
  const socket = connect(Number(port), ip);
  socket.write(
    [
      `${line} HTTP/1.1`,
      `host: ${host}`,
      "x-request-id: raw-1",
      "x-deadline-ms: 900",
      "connection: close",
      `content-length: ${body.length}`,
      "",
      body,
    ].join("\r\n"),
  );
  const response = await text(socket);
  const [head = "", received = ""] = response.split("\r\n\r\n");
  return [Number(head.split(" ")[1]), received];
}

describe("a fleet whose callers write targets in absolute form", () => {
  let folder: string;
  let vms: FleetVm[];
  const target = new HeartbeatTarget({
    name: "catalogue-1",
    service: "catalogue",
    dataCentre: "a",
    control,
  });

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "forms-"));
    vms = [
      await startRole({
        role: "control",
        ip: `${prefix}.1`,
        seed: control,
        lines: `dataFolder = ${folder}\n[listen]\ncontrol = ${control}`,
      }),
      await startRole({
        role: "gateway",
        ip: `${prefix}.2`,
        seed: control,
        lines: `[listen]\ncallers = ${gateway}\nreadiness = ${prefix}.2:7302`,
      }),
    ];
    target.handler = ({ method, url, headers }, response) =>
      void response.end(`${method} ${headers.host} ${url}`);
    await waitUntil(async () => {
      const { status } = await callControl(
        control,
        "PATCH",
        SimulatorPath.configuration,
        configuration,
      );
      return status === 200;
    });
    await target.start(`${prefix}.3`);
    await waitUntil(async () => {
      const { status } = await sendHttp({
        address: gateway,
        method: "GET",
        path: "/lookup/1",
        headers: {
          host: "jigs.example",
          "x-request-id": "plain-1",
          "x-deadline-ms": "900",
        },
      });
      return status === 200;
    });
  });

  afterAll(async () => {
    target.stop();
    for (const vm of vms.reverse()) await vm.stop();
    await rm(folder, { recursive: true });
  });

  // Failure: control answered 404 to operators and targets.
  it("takes changes and heartbeats", async () => {
    const [changed] = await sendRaw(control, {
      line: `PATCH http://${control}/v1/config`,
      host: control,
      body: JSON.stringify(configuration),
    });
    expect(changed).toBe(200);
    const [status] = await sendRaw(control, {
      line: `PUT http://${control}/v1/instances/other`,
      host: control,
      body: encodeHeartbeat({
        service: "catalogue",
        address: `${prefix}.9:80`,
        dataCentre: "b",
        slots: 1,
        isDraining: true,
        sequence: 1,
        bornAt: 1000,
        holds: [],
      }),
    });
    expect(status).toBe(200);
  });

  // Failure: a confirmed route was refused with 404 (issue 50).
  it.each([
    ["GET http://jigs.example/lookup/1?q=2", "elsewhere.example"],
    ["GET http://Jigs.Example:80/lookup/1?q=2", "Jigs.Example:80"],
    ["GET /lookup/1?q=2", "jigs.example."],
  ])("serves %s with the host %s", async (line, host) => {
    const [status, received] = await sendRaw(gateway, { line, host });
    expect(status).toBe(200);
    const [method, named, path] = received.split(" ");
    expect([method, path]).toEqual(["GET", "/lookup/1?q=2"]);
    expect(named!.toLowerCase()).toMatch(/^jigs\.example(:80|\.)?$/);
  });

  it("refuses what no route has", async () => {
    for (
      const line of [
        "GET http://jigs.example/other/1",
        "GET http://other.example/lookup/1",
        "GET http:///lookup/1",
      ]
    ) {
      const [status] = await sendRaw(gateway, { line, host: "jigs.example" });
      expect([line, status]).toEqual([line, 404]);
    }
  });
});
