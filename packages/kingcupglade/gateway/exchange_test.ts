import { createServer, request as sendRequest } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import { connect, createServer as createSocketServer } from "node:net";
import type { AddressInfo, Server as SocketServer, Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RequestBody } from "@kingcupglade/transport";
import { CallerResponseSink } from "./response_sink.ts";
import { ExchangeClient } from "./exchange.ts";
import type { ExchangeRequest, ExchangeResult } from "./exchange_types.ts";

interface ReceivedResponse {
  readonly result: ExchangeResult;
  readonly isComplete: boolean;
  readonly body: string;
}

type Behaviour = (socket: Socket, head: string) => void;

/** A long timeout, because these tests check conditions and not durations. */
const pollOptions = { timeout: 30_000 };

const ok = (body: string) =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

describe("an exchange", () => {
  let client: ExchangeClient;
  let target: SocketServer;
  let gateway: Server;
  let results: ExchangeResult[];
  let receivedData: string[];
  let behaviour: Behaviour;
  let options: Partial<ExchangeRequest>;
  const sockets = new Set<Socket>();

  const portOf = (server: Server | SocketServer) =>
    (server.address() as AddressInfo).port;

  beforeEach(async () => {
    client = new ExchangeClient({ connectionsPerTarget: 1 });
    results = [];
    receivedData = [];
    options = {};
    target = createSocketServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (data) => {
        receivedData.push(data.toString());
        behaviour(socket, data.toString());
      });
    });
    gateway = createServer(async (request, response) => {
      const body = await RequestBody.receive(request, {
        maximumBytes: 1 << 24,
        maximumBufferedBytes: 1024,
      });
      const result = await client.run({
        address: `http://127.0.0.1:${portOf(target)}`,
        method: request.method!,
        path: request.url!,
        headers: request.headers,
        openBody: () => body.open(),
        bodyLength: body.streamedLength,
        added: {},
        timeoutMilliseconds: 300,
        maySend: () => true,
        ...options,
      }, new CallerResponseSink(response));
      results.push(result);
      if (!response.headersSent) response.writeHead(599).end();
    });
    for (const server of [target, gateway]) {
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
    }
  });

  afterEach(async () => {
    await client.close();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    gateway.closeAllConnections();
    gateway.close();
    target.close();
  });

  async function send(path = "/", method = "POST"): Promise<ReceivedResponse> {
    const count = results.length;
    const response = await new Promise<Omit<ReceivedResponse, "result">>(
      (resolve, reject) => {
        const sent = sendRequest({
          host: "127.0.0.1",
          port: portOf(gateway),
          path,
          method,
          agent: false,
        }, (response: IncomingMessage) => {
          let body = "";
          response.on("data", (chunk) => (body += String(chunk)));
          response.on(
            "end",
            () => resolve({ isComplete: response.complete, body }),
          );
          response.on("error", () => resolve({ isComplete: false, body }));
        });
        sent.on("error", reject);
        sent.end();
      },
    );
    await expect.poll(() => results.length, pollOptions).toBeGreaterThan(count);
    return { ...response, result: results[count]! };
  }

  describe("with a truncated response", () => {
    it.each([
      ["a declared length", "content-length: 10\r\n\r\nhalf"],
      ["chunks", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"],
    ])("is never reported as complete: %s", async (_, rest) => {
      behaviour = (socket) => socket.end(`HTTP/1.1 200 OK\r\n${rest}`);
      const response = await send();
      expect(response).toMatchObject({
        isComplete: false,
        body: "half",
        result: { kind: "truncated" },
      });
    });

    it("is ended when the body stalls", async () => {
      behaviour = (socket) =>
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
      expect(await send()).toMatchObject({ isComplete: false });
      expect(results).toEqual([{ kind: "truncated" }]);
    });
  });

  describe("with an invalid response", () => {
    it.each([
      ["without framing", "HTTP/1.1 200 OK\r\n\r\nall?", "badAnswer"],
      // Guards against a body that its connection ends and that looks framed.
      [
        "with a coding that frames nothing",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nall?",
        "badAnswer",
      ],
      [
        "with a coding that is not passed on",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n4\r\nall?\r\n0\r\n\r\n",
        "badAnswer",
      ],
      [
        "to another exchange",
        "HTTP/1.1 200 OK\r\nkingcupglade-exchange: other\r\ncontent-length: 2\r\n\r\nhi",
        "badAnswer",
      ],
      [
        "with two lengths",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nhi",
        "connectionLost",
      ],
      // Guards against an answer in trouble whose status is none.
      ...["000", "099", "600", "999"].map((status) => [
        `with the status ${status}`,
        `HTTP/1.1 ${status} Odd\r\ncontent-length: 3\r\n\r\nodd`,
        "badAnswer",
      ]),
      [
        "with a truncated refusal",
        "HTTP/1.1 409 Conflict\r\nkingcupglade-outcome: not-run\r\n",
        "connectionLost",
      ],
    ])("has an unknown outcome: %s", async (_, response, cause) => {
      behaviour = (socket) => socket.end(response);
      expect((await send()).result).toMatchObject({ kind: "unknown", cause });
    });

    it("ignores a refusal with two outcomes", async () => {
      behaviour = (socket) =>
        socket.end(
          "HTTP/1.1 409 Conflict\r\nkingcupglade-outcome: not-run\r\n" +
            "kingcupglade-outcome: answered\r\ncontent-length: 0\r\n\r\n",
        );
      expect((await send()).result.kind).toBe("answered");
    });
  });

  describe("with data after the response", () => {
    it.each([
      ["a second response at once", ok("one") + ok("two"), 0],
      ["a second response later", ok("two"), 20],
      ["a longer body than declared", `${ok("one")}surplus`, 0],
    ])("returns each caller its own response: %s", async (_, extra, delay) => {
      behaviour = (socket, head) => {
        if (head.startsWith("POST /second")) return socket.write(ok("second"));
        if (delay === 0) return socket.write(extra);
        socket.write(ok("one"));
        setTimeout(() => socket.write(extra), delay);
      };
      expect(await send("/first")).toMatchObject({
        isComplete: true,
        body: "one",
      });
      await new Promise((resolve) => setTimeout(resolve, 2 * Number(delay)));
      expect(await send("/second")).toMatchObject({
        isComplete: true,
        body: "second",
      });
    });

    it.each([
      ["that echoes", true],
      ["that does not echo", false],
    ])(
      "never passes a late second response to the next caller: a target %s",
      async (_, echoes) => {
        let first: Socket | undefined;
        const responseTo = (head: string, body: string) => {
          const id = /kingcupglade-exchange: (.*)\r/.exec(head)![1];
          const echo = echoes ? `kingcupglade-exchange: ${id}\r\n` : "";
          return ok(body).replace("content", `${echo}content`);
        };
        let firstHead = "";
        behaviour = (socket, head) => {
          if (head.startsWith("POST /warm-up")) {
            return socket.write(responseTo(head, "warm"));
          }
          if (head.startsWith("POST /first")) {
            [first, firstHead] = [socket, head];
            return socket.write(responseTo(head, "first"));
          }
          first?.write(responseTo(firstHead, "again"));
          setTimeout(() => socket.write(responseTo(head, "second")), 10);
        };
        await send("/warm-up");
        expect(await send("/first")).toMatchObject({ body: "first" });
        const second = await send("/second");
        expect(["second", ""]).toContain(second.body);
        expect(second.result.kind).toBe(echoes ? "unknown" : "answered");
      },
    );

    // Guards against a copy of an earlier response that takes the place of bytes
    // which arrive after the length is reached.
    it("never completes a response with a late copy of another in it", async () => {
      const responseTo = (head: string, body: string) => {
        const id = /kingcupglade-exchange: (.*)\r/.exec(head)![1];
        return `HTTP/1.1 200 OK\r\nkingcupglade-exchange: ${id}\r\n` +
          `content-length: ${body.length}\r\n\r\n${body}`;
      };
      const used = new Set<Socket>();
      let copy = "";
      behaviour = (socket, head) => {
        used.add(socket);
        if (!head.startsWith("POST /second")) {
          copy = responseTo(head, "first");
          return void socket.write(copy);
        }
        const own = responseTo(head, `own${"x".repeat(copy.length)}`);
        socket.write(own.slice(0, -copy.length) + copy);
        setTimeout(() => socket.write(own.slice(-copy.length)), 50);
      };
      await send("/warm-up");
      await send("/first");
      used.clear();
      await send("/first");
      // The caller sees that its connection ends early.
      const second = await send("/second").catch(() => undefined);
      expect(used.size).toBe(1);
      expect(second?.isComplete ?? false).toBe(false);
      await expect.poll(() => results.length, pollOptions).toBe(4);
      expect(results[3]).toEqual({ kind: "truncated" });
    });

    it("skips informational responses", async () => {
      behaviour = (socket) =>
        socket.write(`HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n${ok("one")}`);
      expect(await send()).toMatchObject({ isComplete: true, body: "one" });
    });
  });

  describe("with a response without a body", () => {
    it.each([
      ["HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"],
      ["POST", "HTTP/1.1 204 No Content\r\n\r\n"],
      ["GET", "HTTP/1.1 304 Not Modified\r\n\r\n"],
    ])("is complete: %s", async (method, response) => {
      behaviour = (socket) => socket.write(response);
      expect(await send("/", method)).toMatchObject({
        isComplete: true,
        result: { kind: "answered" },
      });
    });
  });

  describe("that times out", () => {
    it("has an unknown outcome and closes its connection, which discards a late response", async () => {
      const closed: Promise<void>[] = [];
      behaviour = (socket, head) => {
        if (head.startsWith("POST /second")) return socket.write(ok("second"));
        closed.push(
          new Promise((resolve) => socket.once("close", () => resolve())),
        );
        setTimeout(() => socket.write(ok("late")), 350);
      };
      expect((await send("/first")).result).toMatchObject({
        kind: "unknown",
        cause: "deadline",
      });
      await Promise.all(closed);
      expect(await send("/second")).toMatchObject({ body: "second" });
    });

    it("is not sent if it was still waiting for a connection", async () => {
      behaviour = () => {};
      options = { timeoutMilliseconds: 60_000 };
      const first = send("/first");
      await expect.poll(() => receivedData.length, pollOptions).toBe(1);
      options = { timeoutMilliseconds: 100 };
      await send("/second");
      expect(results).toEqual([{ kind: "notSent" }]);
      expect(receivedData).toHaveLength(1);
      for (const socket of sockets) socket.destroy();
      await first;
      expect(results[1]).toMatchObject({ kind: "unknown" });
      expect(receivedData).toHaveLength(1);
    });
  });

  describe("that is cancelled before its first byte is sent", () => {
    it("is not sent", async () => {
      behaviour = (socket) => socket.write(ok("one"));
      let checks = 0;
      options = { maySend: () => (checks += 1) === 1 };
      expect((await send()).result).toEqual({ kind: "notSent" });
      expect(receivedData).toEqual([]);
    });
  });

  describe("with a large body", () => {
    it("streams it as fast as the target reads", async () => {
      const length = 8 << 20;
      let receivedBytes = 0;
      behaviour = (socket) => {
        receivedBytes += receivedData.pop()!.length;
        if (receivedBytes >= length) return socket.write(ok("stored"));
        socket.pause();
        setTimeout(() => socket.resume(), 1);
      };
      options = { timeoutMilliseconds: 20_000 };
      const response = await new Promise<string>((resolve) => {
        const socket = connect(portOf(gateway), "127.0.0.1", () => {
          socket.write(
            `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n`,
          );
          socket.write(Buffer.alloc(length));
        });
        socket.on("data", (data) => {
          socket.destroy();
          resolve(data.toString());
        });
      });
      expect(response).toContain("stored");
      expect(results).toEqual([{ kind: "answered", status: 200 }]);
    });
  });
});
