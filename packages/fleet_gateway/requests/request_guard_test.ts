import { EventEmitter } from "node:events";
import { RequestKind } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { BodyMemory } from "@kingcupglade/transport";
import { RequestBody } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { noKeys } from "./forwarding_fixture.ts";
import type { Exchange } from "../exchanges/exchange.ts";
import { RelayForwarder } from "../relay/relay_forwarder.ts";
import { ReadHold } from "../exchanges/read_hold.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { RequestHandler } from "./request_handler.ts";
import { ServiceQueue } from "../slots/service_queue.ts";

const odd = () => {
  throw new TypeError("Invalid URL");
};

// Guards against one odd entry of a target, or any other fault in the path of a
// request, that ends the process (issue 32). Vitest fails on a rejection that
// nobody handles.
describe("a fault in the path of a request", () => {
  const respond = vi.fn();
  const answer = {
    respond,
    isClosed: false,
    hasStarted: false,
    onClosed: () => {},
  };
  const handOver = vi.fn();
  const error = vi.fn();
  const logger = { debug() {}, info() {}, warn() {}, error };
  const clock = new ManualClock(0);
  let selection: () => unknown;
  let context: Record<string, unknown>;
  /** Requests at the target, as its record counts them. */
  let inFlight: number;

  const routed = {
    request: { headers: {}, method: "GET", url: "/" },
    head: { requestId: "r1" },
    route: {
      name: "lookup",
      requests: RequestKind.idempotent,
      maximumTargets: 2,
      homeRegions: [],
      objectiveMilliseconds: 500,
    },
    service: "catalogue",
    position: undefined,
    body: RequestBody.empty,
    digest: () => "",
    arrivedAt: 0,
    deadlineAt: 900,
  };

  beforeEach(() => {
    vi.useFakeTimers();
    respond.mockClear();
    handOver.mockClear();
    error.mockClear();
    const queue = new ServiceQueue({
      now: () => clock.now(),
      budget: { ratio: 0.2, windowMilliseconds: 1000, slack: 5 },
    });
    selection = () => ({
      kind: "found",
      target: { name: "odd", address: "10.0.0.9:99999" },
      record: {
        expectedDuration: () => 1,
        begin: () => inFlight += 1,
        end: () => inFlight -= 1,
      },
    });
    inFlight = 0;
    context = {
      name: "gateway-1",
      secret: "unguarded",
      clock,
      logger,
      metrics: createMetrics(),
      random: Math.random,
      gatewayCount: () => 1,
      wire: {
        readRequest: () => ({ requestId: "r1" }),
        readResponse: () => ({ requestId: "r1" }),
        targetHeaders: () => ({}),
      },
      notices: { record: () => {}, mayUse: () => true },
      limits: { record: () => {}, of: () => undefined },
      selector: {
        recordReceived: () => {},
        service: () => queue,
        select: () => selection(),
        laneOf: () => ({ lane: "", inFlight: 0, maximumPerSecond: Infinity }),
      },
      reach: {
        onCutOff: () => () => {},
        begin: () => {},
        end: () => {},
        recordProgress: () => {},
        recordResponse: () => {},
      },
      keys: noKeys,
      suspects: { isSuspect: () => false },
      responseMemory: new BodyMemory(),
      pools: { poolFor: () => undefined },
      connections: { acquire: odd },
      relayConnections: { acquire: odd },
      relays: { next: () => ({ name: "g", address: "a:1" }) },
      table: () => ({
        hasConfiguration: true,
        matchRoute: odd,
        target: (name: string) => ({ name }),
        mayServe: () => true,
      }),
    };
  });

  afterEach(() => void vi.useRealTimers());

  async function expectRefused(): Promise<void> {
    await vi.advanceTimersByTimeAsync(50);
    expect(error).toHaveBeenCalledWith(
      "request-failed",
      expect.objectContaining({ request: "r1", reason: "Invalid URL" }),
    );
    expect(respond).toHaveBeenCalledTimes(1);
    expect(respond).toHaveBeenCalledWith(
      expect.objectContaining({ status: 503 }),
    );
  }

  function forward(): void {
    new RequestForwarder({
      context: context as never,
      routed: routed as never,
      answer: answer as never,
      handOver,
    }).start();
  }

  it("ends that request if its target cannot be connected to", async () => {
    forward();
    await expectRefused();
    expect(inFlight).toBe(0);
  });

  it("ends that request if no target can be selected", async () => {
    selection = odd;
    forward();
    await expectRefused();
  });

  // A fault that follows a response must not deny that the request has run.
  it("leaves the outcome of a request unknown that has reached a target", async () => {
    context["connections"] = {
      acquire: () => ({
        reads: new ReadHold(),
        client: {
          dispatch: (_options: unknown, exchange: Exchange) => {
            exchange.onRequestStart({} as never);
            exchange.onResponseStart({} as never, 200, {});
            exchange.onResponseEnd();
          },
          destroy: () => {},
        },
      }),
      release: odd,
    };
    forward();
    await vi.advanceTimersByTimeAsync(50);
    expect(respond).toHaveBeenCalledWith(
      expect.objectContaining({ status: 502 }),
    );
  });

  // Guards against requests that are refused in the moment in which the gateway
  // finds out that it is cut off.
  it("hands a request over that no target takes, if that is the gateway's fault", async () => {
    const refused = {
      reads: new ReadHold(),
      client: {
        dispatch: (_options: unknown, exchange: Exchange) =>
          exchange.onResponseError({} as never, new Error("refused")),
        destroy: () => {},
      },
    };
    context["connections"] = { acquire: () => refused, end: () => {} };
    let isCutOff = true;
    context["reach"] = {
      ...context["reach"] as object,
      confirmCutOff: () => Promise.resolve(isCutOff),
    };
    forward();
    await vi.advanceTimersByTimeAsync(50);
    expect(respond).not.toHaveBeenCalled();
    expect(handOver).toHaveBeenCalledWith({ arrived: [], mayHaveRun: false });
    isCutOff = false;
    forward();
    await vi.advanceTimersByTimeAsync(50);
    expect(respond).toHaveBeenCalledWith(
      expect.objectContaining({ status: 503 }),
    );
    expect(handOver).toHaveBeenCalledTimes(1);
  });

  it("ends that request if the end of its target cannot be examined", async () => {
    const reset = {
      reads: new ReadHold(),
      client: {
        dispatch: (_options: unknown, exchange: Exchange) => {
          exchange.onRequestStart({} as never);
          const failure = Object.assign(new Error(), { code: "ECONNRESET" });
          exchange.onResponseError({} as never, failure);
        },
        destroy: () => {},
      },
    };
    context["connections"] = { acquire: () => reset, end: () => {} };
    context["suspects"] = {
      isSuspect: () => false,
      examine: () => Promise.resolve().then(odd),
    };
    forward();
    await vi.advanceTimersByTimeAsync(50);
    expect(error).toHaveBeenCalledWith(
      "request-failed",
      expect.objectContaining({ reason: "Invalid URL" }),
    );
    expect(respond).toHaveBeenCalledWith(
      expect.objectContaining({ status: 502 }),
    );
  });

  it("ends that request if it cannot be handed over when the gateway is cut off", () => {
    let cutOff: (() => void) | undefined;
    context["reach"] = {
      ...context["reach"] as object,
      onCutOff: (listener: () => void) => {
        cutOff = listener;
        return () => {};
      },
    };
    selection = () => ({ kind: "wait" });
    handOver.mockImplementationOnce(odd);
    forward();
    expect(cutOff).not.toThrow();
    expect(error).toHaveBeenCalledWith(
      "request-failed",
      expect.objectContaining({ reason: "Invalid URL" }),
    );
  });

  it("ends a request that waits, without the others that wait", async () => {
    selection = () => ({ kind: "wait" });
    forward();
    selection = odd;
    await expectRefused();
  });

  it("ends that request if it cannot be relayed", async () => {
    new RelayForwarder({
      context: context as never,
      routed: routed as never,
      answer: answer as never,
      progress: { arrived: [], mayHaveRun: false },
    }).start();
    await expectRefused();
  });

  it("ends that request if its route cannot be found", async () => {
    const socket = Object.assign(new EventEmitter(), {
      destroyed: false,
      readableEnded: false,
    });
    const response = Object.assign(new EventEmitter(), {
      destroyed: false,
      req: { complete: true, socket },
      setHeader: () => {},
      writeHead: (status: number) => respond({ status }),
      end: () => {},
    });
    new RequestHandler({
      context: context as never,
      stopSchedule: {} as never,
      digest: () => "",
    }).handle({ headers: {}, url: "/", socket } as never, response as never);
    await expectRefused();
  });
});
