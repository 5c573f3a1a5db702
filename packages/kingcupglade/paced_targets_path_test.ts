import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
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
const gatewayIp = `${prefix}.10`;
const callersAddress = `${gatewayIp}:7301`;
const metricsAddress = `${gatewayIp}:7303`;
const workMilliseconds = 300;
/** Requests at the same moment; the established target takes 5 of them. */
const burst = 9;

const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 50, version: 1 }],
    routes: [{ ...createRoute("lookup", "safe", "catalogue"), timeoutS: 5 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1000,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
      version: 1,
    },
  },
};

/** A target that counts its requests in progress. */
class CountingTarget {
  readonly target: HeartbeatTarget;
  highest = 0;
  /** The most requests in progress before the first response. */
  highestAtFirst = 0;
  #running = 0;
  #responses = 0;

  constructor(name: string) {
    this.target = new HeartbeatTarget({
      name,
      service: "catalogue",
      dataCentre: "a",
      control: controlAddress,
    });
    this.target.handler = (_request, response) => {
      this.#running += 1;
      this.highest = Math.max(this.highest, this.#running);
      if (this.#responses === 0) this.highestAtFirst = this.highest;
      setTimeout(() => {
        this.#running -= 1;
        this.#responses += 1;
        response.end("whole");
      }, workMilliseconds);
    };
  }
}

describe("a gateway at which a target appears", () => {
  let folder: string;
  let nextId = 0;
  let vms: FleetVm[];
  let established: CountingTarget;
  let added: CountingTarget;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "paced-"));
    vms = [];
    established = new CountingTarget("t1");
    added = new CountingTarget("t2");
  });

  afterEach(async () => {
    established.target.stop();
    added.target.stop();
    for (const vm of vms.reverse()) await vm.stop();
    await rm(folder, { recursive: true });
  });

  async function start(lines: string): Promise<void> {
    vms.push(
      await startRole({
        role: "control",
        ip: `${prefix}.1`,
        seed: controlAddress,
        lines: `dataFolder = ${folder}\n[listen]\ncontrol = ${controlAddress}`,
      }),
    );
    vms.push(
      await startRole({
        role: "gateway",
        ip: gatewayIp,
        seed: controlAddress,
        lines: `${lines}[listen]
callers = ${callersAddress}
readiness = ${gatewayIp}:7302
metrics = ${metricsAddress}`,
      }),
    );
    await waitUntil(async () =>
      (await callControl(controlAddress, "PATCH", "/v1/config", configuration))
        .status === 200
    );
    await established.target.start(`${prefix}.50`);
    await waitUntil(async () => await request() === 200);
    // The leader's table is complete once every target had time to report.
    await new Promise((resolve) => setTimeout(resolve, 2000));
  }

  async function request(): Promise<number> {
    const { status } = await sendHttp({
      address: callersAddress,
      method: "GET",
      path: "/lookup/1",
      headers: {
        host: "jigs.example",
        "x-request-id": `r${nextId++}`,
        "x-deadline-ms": "4000",
      },
    });
    return status;
  }

  async function readPacedTargets(): Promise<number> {
    const { body } = await sendHttp({
      address: metricsAddress,
      method: "GET",
      path: "/metrics",
    });
    const match = /kingcupglade_paced_targets{chooser="gateway"} (\d+)/
      .exec(String(body));
    return Number(match?.[1]);
  }

  /** Sends requests at one moment until the added target has got some. */
  async function sendBursts(): Promise<void> {
    await waitUntil(async () => {
      const statuses = await Promise.all(
        Array.from({ length: burst }, () => request()),
      );
      expect(statuses.every((status) => status === 200)).toBe(true);
      return added.highest > 1;
    });
  }

  it("sends it one request until it responds, and then more", async () => {
    await start("");
    // The established target may have appeared after the first table.
    await waitUntil(async () => {
      await request();
      return await readPacedTargets() === 0;
    });
    await added.target.start(`${prefix}.51`);
    await waitUntil(async () => await readPacedTargets() === 1);
    await sendBursts();
    expect(added.highestAtFirst).toBe(1);
    await waitUntil(async () => await readPacedTargets() === 0);
  });

  it("sends it all that its slots take if targets are not paced", async () => {
    await start("[dispatch]\npaceTargets = false\n");
    await added.target.start(`${prefix}.51`);
    await sendBursts();
    expect(added.highestAtFirst).toBeGreaterThan(1);
  });
});
