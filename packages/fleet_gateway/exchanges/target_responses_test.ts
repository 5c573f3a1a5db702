import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  ForwardingFixture,
  RawServer,
  responseText,
} from "../requests/forwarding_fixture.ts";

describe("a response of a target", () => {
  let target: RawServer;
  let gateway: ForwardingFixture;

  beforeEach(async () => {
    target = new RawServer();
    await target.start();
    gateway = new ForwardingFixture([target]);
  });

  afterEach(() => {
    gateway.connections.close();
    target.stop();
  });

  // Guards against a second copy of a response that reaches the next caller:
  // without an ID nothing tells it from that caller's own response.
  it("that has no ID is not taken for the next response without one", async () => {
    const previous = new Map<Socket, string>();
    target.respond = (socket, request) => {
      const path = request.split(" ")[1] ?? "";
      const own = responseText(200, "", path);
      socket.write((previous.get(socket) ?? "") + own);
      previous.set(socket, own);
    };
    for (const path of ["/first", "/second"]) {
      const received = await gateway.forward({ requestId: "", path });
      expect(received).toEqual({ status: 200, body: path });
    }
  });

  // Guards against responses of sound targets that are taken for those to other
  // requests because of white space around their IDs.
  it("is its caller's with any white space around its ID", async () => {
    const sockets = new Set<Socket>();
    target.respond = (socket) => {
      sockets.add(socket);
      socket.write(responseText(200, "Request: \t r1 \t\r\n", "body"));
    };
    const received = await gateway.forward({ requestId: "r1" });
    expect(received).toEqual({ status: 200, body: "body" });
    expect(sockets.size).toBe(1);
  });

  // Guards against a copy of a refusal that is taken for the response to a
  // request with the same ID, which a caller sent once more.
  it.each([
    ["at once", []],
    ["after others", ["r2", "r3"]],
  ])(
    "is not taken for the response to a later request with its ID, sent %s",
    async (_when, between) => {
      let runs = 0;
      const refusal = responseText(503, "request: r1\r\nnot-run: 1\r\n", "");
      let isRefusing = true;
      const refusedOn = new Set<Socket>();
      target.respond = (socket, request) => {
        const id = (request.split(" ")[1] ?? "").slice(1);
        const own = responseText(200, `request: ${id}\r\n`, "done");
        if (id !== "r1") return void socket.write(own);
        if (isRefusing) {
          refusedOn.add(socket);
          return void socket.write(refusal);
        }
        runs += 1;
        socket.write(refusedOn.has(socket) ? refusal + own : own);
      };
      const forward = (requestId: string) =>
        gateway.forward({ requestId, path: `/${requestId}` });
      expect((await forward("r1")).status).toBe(503);
      for (const id of between) expect((await forward(id)).status).toBe(200);
      isRefusing = false;
      const second = await forward("r1");
      expect(runs).toBe(second.status === 503 ? 0 : 1);
    },
  );

  // Guards against the promise "not run" for a request that may have run, as its
  // target answered 503 without stating it.
  it("with 503 is no promise unless it states that nothing ran", async () => {
    let lines = "request: r1\r\n";
    target.respond = (socket) =>
      socket.write(responseText(503, lines, "failed"));
    expect((await gateway.forward({ requestId: "r1" })).status).toBe(502);
    lines = "request: r2\r\nnot-run: 1\r\n";
    expect((await gateway.forward({ requestId: "r2" })).status).toBe(503);
  });

  // Guards against a second copy, or more bytes than announced, that arrive while
  // the connection is idle, and reach the next caller.
  const copy = responseText(200, "request: r1\r\n", "first");
  const extras: readonly (readonly [string, readonly string[]])[] = [
    ["a whole copy", [copy]],
    ["a copy in two parts", [copy.slice(0, 30), copy.slice(30)]],
    ["a part of a copy", [copy.slice(0, -3)]],
    ["bytes of a body", ["more of the body"]],
  ];
  for (const [what, parts] of extras) {
    for (const delayMilliseconds of [0, 30]) {
      it(`is followed by ${what} after ${delayMilliseconds} ms, for nobody`, async () => {
        const own = (id: string) => responseText(200, `request: ${id}\r\n`, id);
        const write = async (socket: Socket) => {
          for (const part of parts) {
            if (delayMilliseconds > 0) await pause(delayMilliseconds);
            socket.write(part);
          }
        };
        target.respond = (socket, request) => {
          const id = (request.split(" ")[1] ?? "").slice(1);
          socket.write(own(id));
          if (id === "r1") void write(socket);
        };
        await gateway.forward({ requestId: "r1", path: "/r1" });
        await pause(100);
        const second = await gateway.forward({ requestId: "r2", path: "/r2" });
        expect(second).toEqual({ status: 200, body: "r2" });
      });
    }
  }

  // Guards against a body where none may be, which would be read as the response
  // to the next request.
  for (const head of ["204 No Content", "304 Not Modified"]) {
    it(`with ${head} and a body ends its connection`, async () => {
      const body = responseText(200, "request: r2\r\n", "false");
      target.respond = (socket, request) =>
        socket.write(
          request.includes("/r1")
            ? `HTTP/1.1 ${head}\r\nrequest: r1\r\ncontent-length: ${body.length}\r\n\r\n${body}`
            : responseText(200, "request: r2\r\n", "own"),
        );
      await gateway.forward({ requestId: "r1", path: "/r1" });
      const second = await gateway.forward({ requestId: "r2", path: "/r2" });
      expect(second.body).not.toBe("false");
    });
  }
});
