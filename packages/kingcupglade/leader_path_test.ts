import { mkdir, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { LinkFlow, LinkNetwork } from "@kingcupglade/soak";
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
const gatewayIp = `${prefix}.10`;
const control = [1, 2, 3].map((octet) => ({
  name: `control-${octet}`,
  ip: `${prefix}.${octet}`,
  proxyIp: `${prefix}.${100 + octet}`,
}));
const controlAddresses = control.map(({ ip }) => `${ip}:7300`);
const peerPort = 7390;
/** Time for which the path to the leader is cut. */
const cutMilliseconds = 6000;
/** Time from an acknowledgement until it is in force. */
const targetMilliseconds = 2000;
const pollMilliseconds = 20;
/** Longer than a watch is held. */
const holdMilliseconds = 1000;
const routeCount = 4;
/** As many requests at a time as all targets take. */
const parallelCount = 12;
const runMilliseconds = 20;

interface LogLine {
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

function isLeadership({ event }: LogLine): boolean {
  return event === "leadership-acquired";
}

describe("a gateway whose path to the leader alone is cut", () => {
  const lines: LogLine[] = [];
  const vms: FleetVm[] = [];
  const network = new LinkNetwork({
    callers: [{ name: "gateway", ip: gatewayIp }],
    called: control,
  });
  const targets = ["t1", "t2", "t3"].map((name) =>
    new HeartbeatTarget({
      name,
      service: "catalogue",
      dataCentre: "a",
      control: controlAddresses[0]!,
    })
  );
  let folder: string;
  let nextId = 0;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "leader-path-"));
    for (const vm of control) await network.open(vm, peerPort);
    for (const [at, { name, ip, proxyIp }] of control.entries()) {
      await mkdir(join(folder, name));
      await start({
        role: "control",
        name,
        ip,
        lines: `dataFolder = ${join(folder, name)}
[listen]
control = ${controlAddresses[at]}`,
        sections: `[advertise]
peers = ${proxyIp}:${peerPort}
control = ${proxyIp}:7300`,
      });
    }
    await start({
      role: "gateway",
      name: "gateway",
      ip: gatewayIp,
      lines: `[listen]
callers = ${gatewayIp}:7301
readiness = ${gatewayIp}:7302`,
      sections: "[advertise]\nbindConnections = true",
    });
    const routes = Array.from(
      { length: routeCount },
      (_, at) => createRoute(`route-${at}`, "safe", "catalogue"),
    );
    const services = [{ name: "catalogue", maxConnections: 10, version: 1 }];
    await waitUntil(() => change({ upsert: { services, routes } }));
    for (const [at, target] of targets.entries()) {
      target.handler = (_request, response) =>
        void setTimeout(() => response.end("whole"), runMilliseconds);
      await target.start(`${prefix}.${50 + at}`);
    }
    await waitUntil(async () => await statusOf("route-0") === 200);
    // A leader that responds late at the start is reached through another VM.
    await waitUntil(() => (pathChanges().at(-1) ?? null) === null);
  });

  afterAll(async () => {
    for (const target of targets) target.stop();
    await Promise.all(vms.reverse().map((each) => each.stop()));
    network.close();
    await rm(folder, { recursive: true });
  });

  async function start(
    options: Omit<Parameters<typeof startRole>[0], "seed"> & { name: string },
  ): Promise<void> {
    const record = (event: string, fields = {}) => {
      lines.push({ vm: options.name, event, fields });
    };
    const log = {
      logger: { debug() {}, info: record, warn: record, error: record },
      close: () => Promise.resolve(),
    };
    vms.push(
      await startRole({
        ...options,
        seed: control.map(({ proxyIp }) => `${proxyIp}:7300`).join(","),
        toleratedLosses: 1,
        overrides: { log: log as never },
      }),
    );
  }

  async function change(document: object): Promise<boolean> {
    const { status } = await callControl(
      controlAddresses[0]!,
      "PATCH",
      "/v1/config",
      document,
    );
    return status === 200;
  }

  async function statusOf(route: string): Promise<number> {
    const { status } = await sendHttp({
      address: `${gatewayIp}:7301`,
      method: "GET",
      path: `/${route}/1`,
      headers: {
        host: "jigs.example",
        "x-request-id": `r${nextId++}`,
        "x-deadline-ms": "900",
      },
    });
    return status;
  }

  /** Cuts the path to the leader; returns a function that restores it. */
  function cutPath(flows: readonly LinkFlow[]): () => void {
    lines.splice(0, lines.length, ...lines.filter(isLeadership));
    const leader = lines.findLast(isLeadership)!.vm;
    const heal = network.hold(({ source, destination }, flow) =>
      source === "gateway" && destination === leader && flows.includes(flow)
    );
    let isHealed = false;
    const healOnce = () => {
      if (!isHealed) heal();
      isHealed = true;
    };
    setTimeout(healOnce, cutMilliseconds);
    return healOnce;
  }

  /** Returns how long it takes until a condition holds. */
  async function timeUntil(
    condition: () => Promise<boolean>,
  ): Promise<number> {
    const startedAt = performance.now();
    while (!await condition()) await pause(pollMilliseconds);
    return performance.now() - startedAt;
  }

  /** Returns the VMs through which the gateway called the leader, in order. */
  function pathChanges(): readonly unknown[] {
    return lines.filter(({ vm, event }) =>
      vm === "gateway" && event === "control-path-changed"
    ).map(({ fields }) => fields["through"]);
  }

  async function waitForDirectPath(): Promise<void> {
    await waitUntil(() => pathChanges().at(-1) === null);
    // The watch that was forwarded before may still be held.
    await pause(holdMilliseconds);
  }

  // Guards against a gateway that runs a removed route for as long as the path
  // between it and the leader is cut, although it reaches other control VMs.
  it.each([
    ["silent", Object.values(LinkFlow), "route-1"],
    ["in one direction", [LinkFlow.responses], "route-2"],
  ])("has a change in time (%s)", async (_name, flows, name) => {
    // Cut first, as the update is sent with the acknowledgement.
    const heal = cutPath(flows);
    const removal = { remove: { routes: [{ name, version: 2 }] } };
    expect(await change(removal)).toBe(true);
    const age = await timeUntil(async () => await statusOf(name) === 404);
    heal();
    expect(age).toBeLessThan(targetMilliseconds);
    await waitForDirectPath();
    expect(pathChanges()).toEqual([expect.any(String), null]);
  });

  // Guards against the same for a target that leaves.
  it("learns in time of a target that leaves", async () => {
    const [leaving] = targets;
    const heal = cutPath(Object.values(LinkFlow));
    await leaving!.sendHeartbeat("draining");
    const acknowledgedAt = performance.now();
    let lastRunAt = acknowledgedAt;
    leaving!.handler = (_request, response) => {
      lastRunAt = performance.now();
      setTimeout(() => response.end("whole"), runMilliseconds);
    };
    while (performance.now() < acknowledgedAt + 2 * targetMilliseconds) {
      await Promise.all(
        Array.from({ length: parallelCount }, () => statusOf("route-0")),
      );
    }
    heal();
    expect(lastRunAt - acknowledgedAt).toBeLessThan(targetMilliseconds);
    await waitForDirectPath();
  });
});
