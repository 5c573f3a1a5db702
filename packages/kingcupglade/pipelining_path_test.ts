import type { ServerResponse } from "node:http";
import { mkdtemp, rm } from "node:fs/promises";
import { connect } from "node:net";
import type { Socket } from "node:net";
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
const gatewayIp = `${prefix}.2`;
const gatewayPort = 7301;
const version = 1;
const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 100, version }],
    routes: [
      // An overdue request would be sent to a second target.
      {
        ...createRoute("lookup", "safe", "catalogue"),
        timeoutS: 5,
        maxAttempts: 1,
      },
      { ...createRoute("reserve", "unsafe", "catalogue"), timeoutS: 5 },
    ],
  },
};
/** Time in which a request that may be passed on reaches its target. */
const arrivalMilliseconds = 200;

/** Returns the bytes of a request. */
function encode(id: string, method = "GET", path = "/lookup/1"): string {
  return [
    `${method} ${path} HTTP/1.1`,
    "host: jigs.example",
    `x-request-id: ${id}`,
    "x-deadline-ms: 4000",
    "content-length: 0",
    "",
    "",
  ].join("\r\n");
}

describe("a caller that pipelines its requests", () => {
  let folder: string;
  let control: FleetVm;
  let gateway: FleetVm;
  let stopped: Promise<void> | undefined;
  let caller: Socket;
  let received: string;
  let isClosed: boolean;
  /** Responses that targets owe, by the ID of the request. */
  const running = new Map<string, ServerResponse>();
  const targets = ["catalogue-1", "catalogue-2", "catalogue-3"].map((name) =>
    new HeartbeatTarget({
      name,
      service: "catalogue",
      dataCentre: "a",
      control: controlAddress,
    })
  );

  const stopGateway = () => stopped ??= gateway.stop();

  beforeEach(async () => {
    stopped = undefined;
    folder = await mkdtemp(join(tmpdir(), "pipelining-"));
    control = await startRole({
      role: "control",
      ip: `${prefix}.1`,
      seed: controlAddress,
      lines: `dataFolder = ${folder}\n[listen]\ncontrol = ${controlAddress}`,
    });
    gateway = await startRole({
      role: "gateway",
      ip: gatewayIp,
      seed: controlAddress,
      lines: `[listen]\ncallers = ${gatewayIp}:${gatewayPort}\n` +
        `readiness = ${gatewayIp}:7302`,
    });
    await waitUntil(async () =>
      (await callControl(controlAddress, "PATCH", "/v1/config", configuration))
        .status === 200
    );
    for (const [index, target] of targets.entries()) {
      target.handler = (_request, response) => response.end("whole");
      await target.start(`${prefix}.${3 + index}`);
    }
    await waitUntil(async () => {
      const { status } = await sendHttp({
        address: `${gatewayIp}:${gatewayPort}`,
        method: "GET",
        path: "/lookup/1",
        headers: { host: "jigs.example", "x-request-id": "served" },
      });
      return status === 200;
    });
    running.clear();
    for (const target of targets) {
      target.requests.length = 0;
      target.handler = (request, response) => {
        const id = String(request.headers["x-request-id"]);
        running.set(id, response);
        response.once("close", () => running.delete(id));
      };
    }
    received = "";
    isClosed = false;
    caller = connect(gatewayPort, gatewayIp);
    caller.on("data", (chunk) => (received += chunk));
    caller.on("error", () => {});
    caller.once("close", () => (isClosed = true));
  });

  afterEach(async () => {
    caller.destroy();
    for (const target of targets) target.stop();
    await stopGateway();
    await control.stop();
    await rm(folder, { recursive: true });
  });

  /** IDs of the requests that have reached a target. */
  function arrivals(): readonly string[] {
    return targets.flatMap(({ requests }) => requests).sort();
  }

  function respond(id: string): void {
    running.get(id)!.end(`body of ${id};`);
  }

  /** Statuses that the caller received, in their order. */
  function statuses(): readonly string[] {
    return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, each]) => each!);
  }

  function bodies(): readonly string[] {
    return [...received.matchAll(/body of (\w+);/g)].map(([, id]) => id!);
  }

  it("receives responses in order, and has four in progress", async () => {
    const ids = ["a", "b", "c", "d", "e", "f"];
    caller.write(ids.map((id) => encode(id)).join(""));
    await waitUntil(() => running.size === 4);
    for (const id of ["d", "c", "b"]) respond(id);
    // Their targets are done with them, although the first response is late.
    await waitUntil(() => running.size === 1);
    await pause(arrivalMilliseconds);
    expect(arrivals()).toEqual(["a", "b", "c", "d"]);
    expect(received).toBe("");
    respond("a");
    await waitUntil(() => running.size === 2);
    respond("f");
    respond("e");
    await waitUntil(() => bodies().length === 6);
    expect(bodies()).toEqual(ids);
  });

  it("has one request at a time that is not safe in progress", async () => {
    caller.write(
      encode("a", "POST", "/reserve/1") + encode("b", "POST", "/reserve/1"),
    );
    await waitUntil(() => running.size === 1);
    await pause(arrivalMilliseconds);
    expect(arrivals()).toEqual(["a"]);
    respond("a");
    await waitUntil(() => running.has("b"));
    respond("b");
    await waitUntil(() => bodies().length === 2);
  });

  // Guards against requests that run although a response before them ends the
  // connection.
  it.each([
    ["held until its end", 10],
    ["streamed", 9_000_000],
  ])(
    "loses no request behind a response that ends its connection (%s)",
    async (_how, bytes) => {
      caller.write(["a", "b", "c"].map((id) => encode(id)).join(""));
      await waitUntil(() => running.size === 3);
      const endWithConnection = (id: string) => {
        const response = running.get(id)!;
        response.useChunkedEncodingByDefault = false;
        response.setHeader("connection", "close");
        response.removeHeader("transfer-encoding");
        response.write(Buffer.alloc(bytes, " "));
        response.end(`body of ${id};`);
      };
      endWithConnection("a");
      respond("b");
      respond("c");
      await waitUntil(() => statuses().length === 3);
      expect(statuses()).toEqual(["502", "200", "200"]);
      expect(bodies()).toEqual(["b", "c"]);
      // Requests run one by one now, so that such a response can be passed on.
      caller.write(["d", "e"].map((id) => encode(id)).join(""));
      await waitUntil(() => running.size === 1);
      await pause(arrivalMilliseconds);
      endWithConnection("d");
      await waitUntil(() => isClosed);
      expect(statuses()).toEqual(["502", "200", "200", "200"]);
      expect(bodies()).toEqual(["b", "c", "d"]);
      expect(arrivals()).toEqual(["a", "b", "c", "d"]);
    },
  );

  // Guards against a stop that cuts off what targets work on.
  it("receives the responses to all requests in progress at a stop", async () => {
    const ids = ["a", "b", "c", "d", "e", "f"];
    caller.write(ids.map((id) => encode(id)).join(""));
    await waitUntil(() => running.size === 4);
    void stopGateway();
    await pause(100);
    for (const id of ["b", "a", "d", "c"]) respond(id);
    await waitUntil(() => isClosed);
    expect(bodies()).toEqual(["a", "b", "c", "d"]);
    expect(arrivals()).toEqual(["a", "b", "c", "d"]);
  });

  it.each([
    ["closes", (socket: Socket) => void socket.end()],
    ["resets", (socket: Socket) => void socket.resetAndDestroy()],
  ])("ends them all when it %s its connection", async (_how, leave) => {
    const ids = ["a", "b", "c", "d", "e", "f"];
    caller.write(ids.map((id) => encode(id)).join(""));
    await waitUntil(() => running.size === 4);
    leave(caller);
    await waitUntil(() => running.size === 0);
    await pause(arrivalMilliseconds);
    expect(arrivals()).toEqual(["a", "b", "c", "d"]);
  });
});
