import { execFileSync } from "node:child_process";
import type { IncomingMessage } from "node:http";
import { mkdtemp, rm } from "node:fs/promises";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { setTimeout as pause } from "node:timers/promises";
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
import type { Handler } from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";

type Connector = buildConnector.connector;

const connectByTcp = buildConnector({});
const prefix = loopbackPrefix();
const controlAddress = `${prefix}.1:7300`;
const gatewayAddress = `${prefix}.2:7301`;
const version = 1;
const configuration = {
  upsert: {
    services: [{ name: "catalogue", maxConnections: 100, version }],
    routes: [
      { ...createRoute("lookup", "safe", "catalogue"), timeoutS: 5 },
      { ...createRoute("reserve", "unsafe", "catalogue"), timeoutS: 5 },
    ],
  },
};
/** Time after a caller has left in which its work ends at the target. */
const endMilliseconds = 500;

/** How a caller ends its connection. */
const CallerEnd = {
  /** It closes the connection in order. */
  order: "order",
  reset: "reset",
} as const;
type CallerEnd = typeof CallerEnd[keyof typeof CallerEnd];

/** A request without a body, as its caller writes it. */
interface RawRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
}

/** Returns the bytes of a request. */
function encodeRequest(
  { id, method, path }: RawRequest,
  headers: readonly string[] = [],
): string {
  return [
    `${method} ${path} HTTP/1.1`,
    "host: jigs.example",
    `x-request-id: ${id}`,
    "x-deadline-ms: 5000",
    ...headers,
    "",
    "",
  ].join("\r\n");
}

/**
 * Sends requests, each on a connection of its own, and ends the connections,
 * while the event loop of this process does not run: a VM of this process reads
 * the requests and the ends of their connections together.
 *
 * @param options.address where the gateway listens, as IP:PORT.
 */
function sendAndLeave(options: {
  readonly address: string;
  readonly requests: readonly RawRequest[];
  readonly end: CallerEnd;
}): void {
  const { address, requests, end } = options;
  execFileSync(process.execPath, [
    "--eval",
    callerScript,
    address,
    end,
    JSON.stringify(requests.map((each) => encodeRequest(each))),
  ]);
}

// The process exits once all connections have ended.
const callerScript = `
const { connect } = require("node:net");
const [, address, end, requests] = process.argv;
const [host, port] = address.split(":");
for (const bytes of JSON.parse(requests)) {
  const socket = connect({ host, port }, () => {
    if (end === "order") socket.end(bytes, () => socket.destroy());
    else socket.write(bytes, () => socket.resetAndDestroy());
  });
}
`;

/** Opens a connection that is never read. */
function openConnection(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.on("error", () => {});
  return socket;
}

describe("a gateway whose callers leave", () => {
  let folder: string;
  let vms: FleetVm[];
  /** Connections of the gateway to targets. */
  const connections: Socket[] = [];
  /** Requests that a target runs, by ID. */
  const running = new Map<string, IncomingMessage>();
  const targets = ["catalogue-1", "catalogue-2"].map((name) =>
    new HeartbeatTarget({
      name,
      service: "catalogue",
      dataCentre: "a",
      control: controlAddress,
    })
  );

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "left-"));
    vms = [
      await startRole({
        role: "control",
        ip: `${prefix}.1`,
        seed: controlAddress,
        lines: `dataFolder = ${folder}\n[listen]\ncontrol = ${controlAddress}`,
      }),
      await startRole({
        role: "gateway",
        ip: `${prefix}.2`,
        seed: controlAddress,
        lines:
          `[listen]\ncallers = ${gatewayAddress}\nreadiness = ${prefix}.2:7302`,
        overrides: { connectToTarget },
      }),
    ];
    await waitUntil(async () => {
      const { status } = await callControl(
        controlAddress,
        "PATCH",
        "/v1/config",
        configuration,
      );
      return status === 200;
    });
    for (const [index, target] of targets.entries()) {
      await target.start(`${prefix}.${3 + index}`);
    }
    await waitUntil(isServed);
  });

  afterAll(async () => {
    for (const target of targets) target.stop();
    for (const vm of vms.reverse()) await vm.stop();
    await rm(folder, { recursive: true });
  });

  beforeEach(() => {
    for (const target of targets) target.requests.length = 0;
    respondWith((_request, response) => response.end("whole"));
    running.clear();
  });

  function connectToTarget(...[options, callback]: Parameters<Connector>) {
    connectByTcp(options, (...result: Parameters<typeof callback>) => {
      if (result[1]) connections.push(result[1]);
      callback(...result);
    });
  }

  async function isServed(): Promise<boolean> {
    const { status } = await sendHttp({
      address: gatewayAddress,
      method: "GET",
      path: "/lookup/1",
      headers: { host: "jigs.example", "x-request-id": "served" },
    });
    return status === 200;
  }

  function respondWith(handler: Handler): void {
    for (const target of targets) target.handler = handler;
  }

  /** IDs of the requests that have reached a target. */
  function arrivals(): readonly string[] {
    return targets.flatMap(({ requests }) => requests);
  }

  function runWithoutEnd(): void {
    respondWith((request, response) => {
      const id = String(request.headers["x-request-id"]);
      running.set(id, request);
      response.once("close", () => running.delete(id));
    });
  }

  // Guards against work for callers that left before their requests were read.
  it.each([
    [CallerEnd.order, "GET", "/lookup/1"],
    [CallerEnd.reset, "GET", "/lookup/1"],
    [CallerEnd.order, "POST", "/reserve/1"],
    [CallerEnd.reset, "POST", "/reserve/1"],
  ])(
    "sends no request that it reads together with the end (%s) of its connection (%s)",
    async (end, method, path) => {
      const requests = Array.from(
        { length: 20 },
        (_, index) => ({ id: `left-${end}-${index}`, method, path }),
      );
      sendAndLeave({ address: gatewayAddress, requests, end });
      await pause(endMilliseconds);
      expect(arrivals()).toEqual([]);
      expect(await isServed()).toBe(true);
    },
  );

  // Guards against refusals that a caller which ends its sending side would lose.
  it("answers at once what it refuses, also after the end of the request", async () => {
    const caller = openConnection(gatewayAddress);
    caller.end(encodeRequest({ id: "odd", method: "GET", path: "/odd/1" }));
    // 503 while the gateway has not heard from control again.
    expect(await text(caller)).toMatch(/^HTTP\/1.1 (404|503) /);
  });

  // Guards against targets that work on for a caller of several requests on one
  // connection, after its connection has ended.
  it.each([CallerEnd.order, CallerEnd.reset])(
    "ends all requests of a connection that ends (%s)",
    async (end) => {
      runWithoutEnd();
      const caller = openConnection(gatewayAddress);
      const ids = ["behind-1", "behind-2", "behind-3"];
      caller.write(
        ids.map((id) => encodeRequest({ id, method: "GET", path: "/lookup/1" }))
          .join(""),
      );
      await waitUntil(() => running.size === ids.length);
      if (end === CallerEnd.order) caller.end();
      else caller.resetAndDestroy();
      await pause(endMilliseconds);
      expect([...running.keys()]).toEqual([]);
      caller.destroy();
    },
  );

  // Guards against exchanges that stay while the rest of a body is not read. A
  // target that does not read notices no end, so the gateway's side is examined.
  it("ends a request whose caller resets its connection while its body waits for the target", async () => {
    runWithoutEnd();
    const caller = openConnection(gatewayAddress);
    const length = 12_000_000;
    caller.write(
      encodeRequest({ id: "long", method: "POST", path: "/reserve/1" }, [
        `content-length: ${length}`,
      ]),
    );
    caller.write(Buffer.alloc(length));
    await waitUntil(() => running.size === 1);
    await pause(endMilliseconds);
    const { remotePort } = running.get("long")!.socket;
    const connection = connections.find((each) =>
      each.localPort === remotePort
    )!;
    expect(connection.destroyed).toBe(false);
    caller.resetAndDestroy();
    await pause(endMilliseconds);
    expect(connection.destroyed).toBe(true);
  });
});
