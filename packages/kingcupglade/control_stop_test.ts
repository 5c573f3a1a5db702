import { mkdtemp, rm } from "node:fs/promises";
import { Agent, request as send } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { ControlVm } from "@kingcupglade/fleet_control";
import { PlatformControlWire } from "@kingcupglade/platform";
import { MonotonicClock } from "@kingcupglade/tasks";
import type { LogFields, Logger } from "@kingcupglade/telemetry";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  callControl,
  createRoute,
  sendHttp,
  startRole,
  waitUntil,
} from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";

const prefix = loopbackPrefix();
const controlAddress = `${prefix}.1:7300`;
const gatewayAddress = `${prefix}.2:7301`;
const readinessAddress = `${prefix}.2:7302`;

const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 10, version: 1 }],
    routes: [createRoute("lookup", "safe", "catalogue")],
  },
};

describe("a control VM that stops", () => {
  const lines: (LogFields & { readonly event: string })[] = [];
  let folder: string;
  let control: ControlVm;
  let gateway: FleetVm;

  const log = (event: string, fields: LogFields = {}) =>
    lines.push({ ...fields, event });
  const logger: Logger = { debug: log, info: log, warn: log, error: log };

  beforeEach(async () => {
    lines.length = 0;
    folder = await mkdtemp(join(tmpdir(), "control-stop-"));
    control = await ControlVm.start({
      name: "control-1",
      dataCentre: "a",
      region: "north",
      folder,
      controlAddress,
      peerAddress: `${prefix}.1:7390`,
      seeds: [controlAddress],
      mayFound: true,
      toleratedLosses: 0,
      heartbeatMilliseconds: 200,
      regions: { a: "north" },
      secret: "unguarded",
      wire: new PlatformControlWire(),
      clock: new MonotonicClock(),
      logger,
      onFailure: () => {},
    });
    gateway = await startRole({
      role: "gateway",
      ip: `${prefix}.2`,
      seed: controlAddress,
      lines:
        `[stop]\ngraceSeconds = 1\n[listen]\ncallers = ${gatewayAddress}\nreadiness = ${readinessAddress}`,
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
    await waitUntil(async () => {
      const { status } = await sendHttp({
        address: readinessAddress,
        method: "GET",
        path: "/",
      });
      return status === 200;
    });
  });

  afterEach(async () => {
    await gateway.stop();
    await rm(folder, { recursive: true });
  });

  // Guards against stops of which nobody can tell whom they left unanswered.
  it("logs that it answered the gateways that watch it", async () => {
    await control.stop();
    const closed = lines.filter(({ event }) => event === "listener-closed");
    expect(closed).toHaveLength(2);
    expect(closed.filter(({ unanswered }) => unanswered !== 0)).toEqual([]);
    expect(lines.at(-1)?.event).toBe("control-stopped");
  });

  // Guards against heartbeats and orders on connections that are about to close.
  it("closes kept connections with its responses", async () => {
    const agent = new Agent({ keepAlive: true });
    const [host, port] = controlAddress.split(":");
    const read = () =>
      new Promise<IncomingHttpHeaders>((resolve, reject) => {
        const options = { agent, host, port, path: "/v1/config" };
        const request = send(options, (response) => {
          response.resume();
          response.once("end", () => resolve(response.headers));
        });
        request.once("error", reject);
        request.end();
      });
    expect((await read()).connection).toBe("keep-alive");
    const stopped = control.stop();
    await pause(20);
    expect((await read()).connection).toBe("close");
    await stopped;
    agent.destroy();
  });
});
