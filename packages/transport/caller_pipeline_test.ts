import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix, measureMemory } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { hasCallerLeft, nextTurn, onExchangeEnd } from "./caller_connection.ts";
import { HttpListener } from "./http_listener.ts";
import type { UnreadableRequest } from "./http_listener.ts";
import { closeAfterBody } from "./pipelined_response.ts";
import { PipelineLimits } from "./pipeline_limits.ts";
import type { PipelineLimitsOptions } from "./pipeline_limits.ts";

const host = `${loopbackPrefix()}.1`;
const port = 7392;
/** Time in which a request that may be started is started. */
const startMilliseconds = 60;

function get(path: string, headers = ""): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;
}

function post(path: string, body: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: a\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

async function waitFor(condition: () => boolean): Promise<void> {
  const until = performance.now() + 3000;
  while (!condition()) {
    if (performance.now() > until) throw new Error("the time is up");
    await pause(5);
  }
}

describe("pipelined requests of a connection", () => {
  let limits: PipelineLimits;
  let listener: HttpListener;
  let caller: Socket;
  let received: string;
  let isClosed: boolean;
  /** Requests in the order in which they were started. */
  let started: string[];
  const responses = new Map<string, ServerResponse>();
  let ended: string[];
  let bodies: Map<string, string>;
  let waits: string[];
  let discards: unknown[];
  let replaced: number;
  let unreadable: UnreadableRequest[];

  async function open(options: PipelineLimitsOptions = {}): Promise<void> {
    limits = new PipelineLimits({
      observer: {
        onWait: (reason) => waits.push(reason),
        onDiscard: (dropped) => discards.push(dropped),
        onReplace: () => (replaced += 1),
      },
      ...options,
    });
    listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      handler,
      onUnreadable: (request) => unreadable.push(request),
      pipelineLimits: limits,
    });
    caller = connect(port, host);
    caller.on("data", (chunk) => (received += chunk));
    caller.on("error", () => {});
    caller.once("close", () => (isClosed = true));
  }

  function handler(request: IncomingMessage, response: ServerResponse): void {
    const path = request.url!;
    started.push(path);
    responses.set(path, response);
    onExchangeEnd(response, () => ended.push(path));
    request.on("data", (chunk) => {
      bodies.set(path, `${bodies.get(path) ?? ""}${chunk}`);
    });
  }

  function respond(path: string, body = path): void {
    responses.get(path)!.end(body);
  }

  beforeEach(() => {
    received = "";
    isClosed = false;
    started = [];
    responses.clear();
    ended = [];
    bodies = new Map();
    waits = [];
    discards = [];
    replaced = 0;
    unreadable = [];
  });

  afterEach(async () => {
    caller.destroy();
    listener.destroy();
    await waitFor(() => isClosed && limits.usedBytes === 0);
  });

  /** Bodies that the caller received, in their order. */
  function receivedBodies(): readonly string[] {
    return received.split(/HTTP\/1.1 [^]*?\r\n\r\n/).slice(1);
  }

  it("are answered in their order, whichever is done first", async () => {
    await open();
    caller.write(["/1", "/2", "/3"].map((each) => get(each)).join(""));
    await waitFor(() => started.length === 3);
    respond("/3");
    respond("/2");
    await pause(startMilliseconds);
    expect(received).toBe("");
    respond("/1");
    await waitFor(() => receivedBodies().length === 3);
    expect(receivedBodies()).toEqual(["/1", "/2", "/3"]);
  });

  // Guards against callers that use up the memory of a VM with bytes that wait,
  // each of which is an object.
  it("take memory by their bytes while they are unread", async () => {
    const bytesOfCaller = 12_000;
    await open({ concurrentPerConnection: 1 });
    const others = Array.from({ length: 9 }, () => connect(port, host));
    const callers = [caller, ...others];
    for (const each of callers) {
      each.setNoDelay(true).on("error", () => {}).write(get("/first"));
    }
    await waitFor(() => started.length === callers.length);
    const send = async (bytes: number) => {
      for (let sent = 0; sent < bytes; sent += 1) {
        for (const each of callers) each.write("G");
        await nextTurn();
      }
      await waitFor(() => limits.usedBytes >= callers.length * bytes);
    };
    // Measured once the code is compiled.
    await send(500);
    const before = measureMemory();
    await send(bytesOfCaller);
    const sentBytes = callers.length * bytesOfCaller;
    await waitFor(() => limits.usedBytes === sentBytes + callers.length * 500);
    expect(measureMemory() - before).toBeLessThan(8 * sentBytes);
    for (const each of others) each.destroy();
  });

  // Guards against a caller that has the VM work on any number of requests.
  it("are not read beyond the bound until one has ended", async () => {
    await open({ concurrentPerConnection: 2 });
    const paths = Array.from({ length: 9 }, (_, index) => `/${index}`);
    caller.write(paths.map((each) => get(each)).join(""));
    await pause(startMilliseconds);
    expect(started).toEqual(["/0", "/1"]);
    // A response that waits for the first has not ended.
    respond("/1");
    await pause(startMilliseconds);
    expect(started).toEqual(["/0", "/1"]);
    expect(limits.usedBytes).toBeGreaterThan(0);
    respond("/0");
    await waitFor(() => started.length === 4);
    for (const path of paths.slice(2)) {
      await waitFor(() => responses.has(path));
      respond(path);
    }
    await waitFor(() => receivedBodies().length === paths.length);
    expect(receivedBodies()).toEqual(paths);
    expect(waits[0]).toBe("concurrency");
  });

  it("are taken up wherever their bytes are divided", async () => {
    await open();
    const paths = ["/1", "/2", "/3", "/4"];
    caller.setNoDelay(true);
    for (const byte of paths.map((each) => get(each)).join("")) {
      caller.write(byte);
      if (byte === "\n") await pause(1);
    }
    await waitFor(() => started.length === 4);
    paths.forEach((each) => respond(each));
    await waitFor(() => receivedBodies().length === 4);
    expect(receivedBodies()).toEqual(paths);
  });

  // A request that changes something must not overtake another.
  it("run alone if their method is not safe", async () => {
    await open();
    caller.write(
      get("/1") + post("/2", "first\r\n\r\n") +
        post("/3", "x".repeat(200_000)) +
        get("/4") + get("/5"),
    );
    await pause(startMilliseconds);
    expect(started).toEqual(["/1"]);
    respond("/1");
    await waitFor(() => started.includes("/2"));
    respond("/2");
    await waitFor(() => started.includes("/3"));
    await waitFor(() => bodies.get("/3")?.length === 200_000);
    await pause(startMilliseconds);
    expect(started).toEqual(["/1", "/2", "/3"]);
    expect(bodies.get("/2")).toBe("first\r\n\r\n");
    respond("/3");
    await waitFor(() => started.length === 5);
    expect(waits).toContain("order");
  });

  // Guards against a bound that a body of unknown length makes useless.
  it("keep the bound behind a body without a length", async () => {
    await open({ concurrentPerConnection: 1 });
    const chunk = `4\r\n\n\n\n\n\r\n`;
    caller.write(
      "GET /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" +
        `${chunk.repeat(1000)}0\r\n\r\n` +
        Array.from({ length: 20 }, (_, index) => get(`/${index + 2}`)).join(""),
    );
    await waitFor(() => bodies.get("/1")?.length === 4000);
    await pause(startMilliseconds);
    expect(started).toEqual(["/1"]);
    for (let index = 1; index <= 21; index += 1) {
      await waitFor(() => responses.has(`/${index}`));
      respond(`/${index}`);
    }
    await waitFor(() => receivedBodies().length === 21);
  });

  // Guards against responses that take the memory of the VM, and against targets
  // that wait for a caller whose first response is late.
  it("use no more memory behind a slow one than the VM has", async () => {
    await open({ concurrentPerConnection: 4, maximumBytes: 100_000 });
    caller.write(["/1", "/2", "/3"].map((each) => get(each)).join(""));
    await waitFor(() => started.length === 3);
    const second = responses.get("/2")!;
    const part = "x".repeat(20_000);
    let parts = 0;
    let mayWrite = true;
    while (mayWrite) {
      mayWrite = second.write(part);
      parts += 1;
    }
    // More than the 16 KiB at which a response alone would wait.
    expect(parts).toBe(5);
    // No further request is started above the bound.
    caller.write(get("/4"));
    await pause(startMilliseconds);
    expect(started).toEqual(["/1", "/2", "/3"]);
    let isDrained = false;
    second.once("drain", () => (isDrained = true));
    respond("/1");
    await waitFor(() => isDrained);
    expect(limits.usedBytes).toBeLessThan(100_000);
    second.end();
    respond("/3");
    await waitFor(() => started.includes("/4"));
    respond("/4");
    await waitFor(() => receivedBodies().length === 4);
    expect(receivedBodies().map(({ length }) => length))
      .toEqual([2, expect.any(Number), 2, 2]);
  });

  it("wait while their connection's responses wait for a slow one", async () => {
    await open();
    caller.write(get("/1") + get("/2"));
    await waitFor(() => started.length === 2);
    respond("/2", "x".repeat(20_000));
    caller.write(get("/3"));
    await pause(startMilliseconds);
    expect(started).toEqual(["/1", "/2"]);
    expect(waits).toEqual(["memory"]);
    respond("/1");
    await waitFor(() => started.includes("/3"));
  });

  // Guards against unread requests that take the memory of the VM.
  it("are dropped, and their connection is closed, without memory", async () => {
    await open({ concurrentPerConnection: 1, maximumBytes: 1000 });
    caller.write(get("/1"));
    for (let index = 2; index < 12; index += 1) {
      caller.write(get(`/${index}`, `x: ${"x".repeat(2000)}\r\n`));
    }
    await waitFor(() => started.length === 1);
    await waitFor(() => discards.length === 1);
    respond("/1");
    await waitFor(() => isClosed);
    expect(received).toMatch(/connection: close/i);
    expect(started).toEqual(["/1"]);
  });

  describe("behind a response that closes the connection are not started", () => {
    it("if the caller asked for it", async () => {
      await open();
      caller.write(get("/1", "connection: close\r\n") + get("/2") + get("/3"));
      await pause(startMilliseconds);
      respond("/1");
      await waitFor(() => isClosed);
      expect(started).toEqual(["/1"]);
      expect(receivedBodies()).toEqual(["/1"]);
      expect(unreadable).toEqual([]);
      expect(discards).toHaveLength(1);
    });

    it("if it lacks its host", async () => {
      await open();
      caller.write(get("/1") + "GET /2 HTTP/1.1\r\n\r\n" + get("/3"));
      await pause(startMilliseconds);
      respond("/1");
      await waitFor(() => isClosed);
      expect(started).toEqual(["/1"]);
      expect(received).toMatch(/^HTTP\/1.1 200 [^]*\/1HTTP\/1.1 400 /);
    });

    it("if its body ends with the connection", async () => {
      await open({ concurrentPerConnection: 1 });
      caller.write(get("/1") + get("/2"));
      await waitFor(() => started.length === 1);
      const response = responses.get("/1")!;
      expect(closeAfterBody(response)).toBe(true);
      response.end("/1");
      await waitFor(() => isClosed);
      expect(started).toEqual(["/1"]);
    });

    // Guards against requests that run and whose responses are lost.
    it("which it may not do if one behind it was", async () => {
      let now = 0;
      await open({
        now: () => now,
        observer: { onReplace: () => (replaced += 1) },
      });
      caller.write(get("/1") + get("/2"));
      await waitFor(() => started.length === 2);
      expect(closeAfterBody(responses.get("/1")!)).toBe(false);
      expect(replaced).toBe(1);
      // From now on, requests run one by one.
      respond("/1");
      await pause(startMilliseconds);
      caller.write(get("/3"));
      await pause(startMilliseconds);
      expect(started).toEqual(["/1", "/2"]);
      respond("/2");
      await waitFor(() => started.length === 3);
      now = 61_000;
      caller.write(get("/4"));
      await waitFor(() => started.length === 4);
      respond("/3");
      respond("/4");
      await waitFor(() => receivedBodies().length === 4);
      expect(receivedBodies()).toEqual(["/1", "/2", "/3", "/4"]);
    });

    // Guards against a stop that cuts off requests which were passed on.
    it("at a planned stop, which answers all that were", async () => {
      await open({ concurrentPerConnection: 3 });
      const paths = ["/1", "/2", "/3", "/4", "/5"];
      caller.write(paths.map((each) => get(each)).join(""));
      await waitFor(() => started.length === 3);
      const drained = listener.drain({
        minimumMilliseconds: 100,
        quietMilliseconds: 50,
        maximumMilliseconds: 1000,
      });
      respond("/2");
      respond("/1");
      await pause(startMilliseconds);
      respond("/3");
      const { unanswered } = await drained;
      await waitFor(() => isClosed);
      expect(started).toEqual(["/1", "/2", "/3"]);
      expect(receivedBodies()).toEqual(["/1", "/2", "/3"]);
      expect(received.match(/connection: close/gi)).toHaveLength(1);
      expect(unanswered).toBe(0);
    });

    it("at a planned stop after the headers of the last were written", async () => {
      await open({ concurrentPerConnection: 2 });
      caller.write(get("/1") + get("/2") + get("/3") + get("/4"));
      await waitFor(() => started.length === 2);
      respond("/2");
      const drained = listener.drain({
        minimumMilliseconds: 100,
        quietMilliseconds: 50,
        maximumMilliseconds: 1000,
      });
      respond("/1");
      await waitFor(() => started.length === 3);
      respond("/3");
      await drained;
      await waitFor(() => isClosed);
      expect(started).toEqual(["/1", "/2", "/3"]);
      expect(receivedBodies()).toEqual(["/1", "/2", "/3"]);
    });
  });

  // Guards against targets that work on for a caller that has left.
  it.each([
    ["closes", (socket: Socket) => void socket.end()],
    ["resets", (socket: Socket) => void socket.resetAndDestroy()],
  ])("end when the caller %s the connection", async (_how, leave) => {
    await open({ concurrentPerConnection: 3 });
    const paths = ["/1", "/2", "/3", "/4", "/5", "/6"];
    caller.write(paths.map((each) => get(each)).join(""));
    await waitFor(() => started.length === 3);
    responses.get("/2")!.write("x".repeat(50_000));
    await pause(startMilliseconds);
    leave(caller);
    await waitFor(() => ended.length === 3);
    expect(started).toEqual(["/1", "/2", "/3"]);
    expect(hasCallerLeft(responses.get("/3")!.req)).toBe(true);
    expect(limits.usedBytes).toBe(0);
  });

  it("are refused with the connection if one cannot be read", async () => {
    await open();
    caller.write(`${get("/1")}no request\r\n\r\n${get("/2")}`);
    await waitFor(() => isClosed);
    expect(started).toEqual(["/1"]);
    expect(unreadable).toMatchObject([{ status: 0 }]);
  });
});
