import { mkdtemp, rm } from "node:fs/promises";
import { connect, createServer } from "node:net";
import type { Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { SimulatorPath } from "@kingcupglade/platform";
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
const listened = `${prefix}.1`;
const advertised = `${prefix}.2`;
const gatewayIp = `${prefix}.3`;
const controlAddress = `${advertised}:7300`;
const callersAddress = `${gatewayIp}:7301`;

const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 10, version: 1 }],
    routes: [createRoute("lookup", "safe", "catalogue")],
  },
};

// Guards against VMs that name the addresses they listen on to others, which
// reach them through other addresses only.
describe("a VM that advertises other addresses than it listens on", () => {
  const callers = new Set<string>();
  const forwarders: Server[] = [];
  const vms: FleetVm[] = [];
  let folder: string;
  let target: HeartbeatTarget;

  /** Forwards connections, and records from where they come. */
  function forward(port: number): Promise<void> {
    const server = createServer((socket) => {
      callers.add(`${socket.remoteAddress} to ${port}`);
      const forwarded = connect(port, listened);
      socket.pipe(forwarded).pipe(socket);
      socket.on("error", () => forwarded.destroy());
      forwarded.on("error", () => socket.destroy());
    });
    forwarders.push(server);
    return new Promise((resolve) => server.listen(port, advertised, resolve));
  }

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "advertised-"));
    await forward(7390);
    await forward(7300);
    vms.push(
      await startRole({
        role: "control",
        ip: listened,
        seed: controlAddress,
        lines: `dataFolder = ${folder}\n[listen]\ncontrol = ${listened}:7300`,
        sections:
          `[advertise]\npeers = ${advertised}:7390\ncontrol = ${controlAddress}`,
      }),
      await startRole({
        role: "gateway",
        ip: gatewayIp,
        seed: controlAddress,
        lines:
          `[stop]\ngraceSeconds = 1\n[listen]\ncallers = ${callersAddress}\nreadiness = ${gatewayIp}:7302`,
        sections: "[advertise]\nbindConnections = true",
      }),
    );
    await waitUntil(async () => {
      const path = SimulatorPath.configuration;
      const { status } = await callControl(
        controlAddress,
        "PATCH",
        path,
        configuration,
      );
      return status === 200;
    });
    target = new HeartbeatTarget({
      name: "t1",
      service: "catalogue",
      dataCentre: "a",
      control: controlAddress,
    });
    await target.start(`${prefix}.4`);
  });

  afterEach(async () => {
    target.stop();
    await Promise.all(vms.splice(0).map((each) => each.stop()));
    for (const each of forwarders.splice(0)) each.close();
    await rm(folder, { recursive: true });
  });

  it("is reached through them by gateways whose own IP it sees", async () => {
    await waitUntil(async () => {
      const { status } = await sendHttp({
        address: callersAddress,
        method: "GET",
        path: "/lookup/1",
        headers: { host: "jigs.example", "x-request-id": "1" },
      });
      return status === 200;
    });
    const peers = [...callers].filter((each) => each.endsWith("7390"));
    expect(peers).toEqual([`${gatewayIp} to 7390`]);
  });

  it("names them to targets", async () => {
    const { body } = await callControl(
      controlAddress,
      "PUT",
      SimulatorPath.worker("t2"),
      {
        service: "catalogue",
        address: `${prefix}.5:7400`,
        zone: "a",
        version: "v1",
        slots: 1,
        state: "ready",
        coldRemainingS: 0,
        sequence: 1,
        born: 1000,
      },
    );
    expect(body).toMatchObject({ heartbeatAddress: controlAddress });
  });
});
