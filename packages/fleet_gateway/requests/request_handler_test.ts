import { CallerDeadlines } from "@kingcupglade/dispatch";
import { once } from "node:events";
import { createServer, request as send } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RequestKind } from "@kingcupglade/items";
import { createMetrics } from "@kingcupglade/telemetry";
import { HeldRequests } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { MockInstance } from "vitest";
import { noKeys } from "./forwarding_fixture.ts";
import {
  decodeRelayReply,
  encodeRelayRequest,
  RelayDecision,
  relayHeader,
} from "../relay/relay_message.ts";
import type { RelayRequest } from "../relay/relay_message.ts";
import { RequestHandler } from "./request_handler.ts";
import { createIdleHandler } from "./request_handler_fixture.ts";
import { ServiceQueue } from "../slots/service_queue.ts";
import { StopSchedule } from "../callers/stop_schedule.ts";

const secret = "unguarded";
const logger = { debug() {}, info() {}, warn() {}, error() {} };
const relay: RelayRequest = {
  id: "hop-1",
  from: "gateway-1",
  route: "lookup",
  routeVersion: 4,
  service: "catalogue",
  ageMilliseconds: 10,
  leftMilliseconds: 900,
  arrived: [],
};

const route = {
  name: "lookup",
  requests: RequestKind.idempotent,
  maximumTargets: 2,
  homeRegions: [],
  objectiveMilliseconds: 500,
};

describe("RequestHandler, for a request that another gateway relays", () => {
  let server: Server;
  let stopSchedule: StopSchedule;
  let isCutOff: boolean;
  let knownVersion: number;
  let isTaken: MockInstance;
  /** Versions of the routes of the requests that were forwarded. */
  let forwardedVersions: number[];
  let deadlines: number[];
  let handler: RequestHandler;

  beforeEach(async () => {
    stopSchedule = new StopSchedule(6000);
    isCutOff = false;
    knownVersion = 4;
    const table = {
      routeNamed: () =>
        knownVersion === 0 ? undefined : { ...route, version: knownVersion },
      routeVersion: () => knownVersion,
      service: () => ({}),
    };
    const metrics = createMetrics();
    isTaken = vi.spyOn(metrics.relayedHere, "inc");
    forwardedVersions = [];
    deadlines = [];
    const queue = new ServiceQueue({
      now: () => 0,
      budget: { ratio: 0.2, windowMilliseconds: 1000, slack: 5 },
    });
    handler = new RequestHandler({
      context: {
        secret,
        logger,
        metrics,
        clock: { now: () => 0 },
        stalls: { readDelay: () => 0 },
        random: Math.random,
        table: () => table,
        wire: { readRequest: () => ({ requestId: "r1" }) },
        selector: {
          recordReceived: () => {},
          service: () => queue,
          select: () => ({ kind: "none", reason: "no target" }),
        },
        pools: {
          poolFor: (
            { route, deadlineAt }: {
              readonly route: { readonly version: number };
              readonly deadlineAt: number;
            },
          ) => {
            forwardedVersions.push(route.version);
            deadlines.push(deadlineAt);
          },
        },
        suspects: { isSuspect: () => false },
        keys: noKeys,
        callerDeadlines: new CallerDeadlines(),
        reach: {
          get isCutOff() {
            return isCutOff;
          },
          onCutOff: () => () => {},
        },
      } as never,
      stopSchedule,
      digest: () => "",
    });
    server = createServer((request, response) =>
      handler.handleRelayed(request, response)
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  function relayWith(header: string): Promise<{
    readonly status: number;
    readonly header: unknown;
  }> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      send({ port, headers: { [relayHeader]: header } }, (response) => {
        response.resume();
        const { statusCode = 0, headers } = response;
        resolve({ status: statusCode, header: headers[relayHeader] });
      }).on("error", reject).end();
    });
  }

  async function decisionOn(request: RelayRequest) {
    const { status, header } = await relayWith(
      encodeRelayRequest(request, secret),
    );
    expect(status).toBe(503);
    const reply = decodeRelayReply(header);
    expect(reply.id).toBe(request.id);
    return reply.decision;
  }

  // Guards against a route of which one gateway has an older version.
  it("does not take it with another version of the route", async () => {
    for (const version of [3, 5, 0]) {
      knownVersion = version;
      expect(await decisionOn(relay)).toBe(RelayDecision.otherTable);
    }
  });

  // Guards against a route that changes while the body is received, after the
  // versions were compared.
  it("keeps the version that both gateways have", async () => {
    const { port } = server.address() as AddressInfo;
    const request = send({
      port,
      method: "POST",
      headers: {
        [relayHeader]: encodeRelayRequest(relay, secret),
        "content-length": 2,
      },
    });
    const responded = once(request, "response");
    request.write("a");
    await vi.waitFor(() => expect(isTaken).toHaveBeenCalled());
    knownVersion = 5;
    request.end("b");
    await responded;
    expect(forwardedVersions).toEqual([4]);
  });

  // Guards against deadlines that start anew after a listener has closed.
  it("counts the time for which a closing listener held it", async () => {
    const held = new HeldRequests();
    server.removeAllListeners("request");
    server.on("request", (request, response) => held.add(request, response));
    const received = once(server, "request");
    const responded = relayWith(encodeRelayRequest(relay, secret));
    await received;
    await pause(30);
    held.release((request, response) =>
      handler.handleRelayed(request, response)
    );
    await responded;
    expect(deadlines).toHaveLength(1);
    expect(deadlines[0]).toBeLessThan(relay.leftMilliseconds - 25);
  });

  it("does not take it while it is cut off itself", async () => {
    isCutOff = true;
    expect(await decisionOn(relay)).toBe(RelayDecision.unable);
  });

  it("does not take it once it stops", async () => {
    stopSchedule.start(0);
    expect(await decisionOn(relay)).toBe(RelayDecision.unable);
  });

  it("takes nothing without the secret of the fleet, or unreadable", async () => {
    const odd = [
      encodeRelayRequest(relay, "another"),
      encodeRelayRequest({ ...relay, leftMilliseconds: Infinity }, secret),
      "",
      "%%%",
      "x".repeat(5000),
      Buffer.from([0xdf, 0xff, 0xff, 0xff, 0xff]).toString("base64url"),
    ];
    for (const header of odd) {
      const result = await relayWith(header);
      expect([result.status, result.header]).toEqual([401, undefined]);
    }
  });
});

describe("RequestHandler, while the processor is short", () => {
  // Guards against work for a request that is refused: its key is not looked up,
  // it counts for no limit, and no target is asked.
  it("refuses before anything that costs, with a time to return", async () => {
    const table = { matchRoute: () => ({ ...route, priority: 1 }) };
    const keys = { ...noKeys, authenticate: vi.fn() };
    const handler = createIdleHandler({ table: () => table, keys }, {
      hasProcessorTime: (priority) => priority === 0,
    });
    const server = createServer((request, response) =>
      handler.handle(request, response)
    ).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const response = await fetch(`http://127.0.0.1:${port}/lookup/1`);
    expect(response.status).toBe(503);
    expect(Number(response.headers.get("retry-after"))).toBeGreaterThan(0);
    expect(keys.authenticate).not.toHaveBeenCalled();
    server.close();
    server.closeAllConnections();
  });
});
