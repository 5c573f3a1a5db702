import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PacedCaller } from "./paced_caller.ts";

/** Two responses whose bodies contain the ends of lines and a status. */
const responses = [
  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/1.1 500",
  "HTTP/1.1 401 Unauthorized\r\ncontent-length: 1\r\n\r\n\n",
].join("");

describe("a paced caller", () => {
  let server: Server;
  let caller: PacedCaller;
  let requests: string[];

  beforeEach(async () => {
    requests = [];
    server = createServer((socket) => {
      socket.setNoDelay(true);
      socket.on("error", () => {});
      socket.on("data", async (chunk) => {
        requests.push(...String(chunk).split(";").filter((each) => each));
        for (let at = 0; at < responses.length; at += 7) {
          socket.write(responses.slice(at, at + 7));
          await pause(1);
        }
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    caller = await PacedCaller.connect({
      host: "127.0.0.1",
      port,
      connections: 2,
    });
  });

  afterEach(() => {
    caller.close();
    server.close();
  });

  // Guards against figures for requests that were not answered as expected, as
  // responses are counted wrongly.
  it("counts responses that arrive in pieces, by status", async () => {
    const counts = await caller.send({
      encode: (number) => `r${number};`,
      perSecond: 40,
      pipelined: 2,
      milliseconds: 100,
    });
    expect(requests).toEqual(["r0", "r1", "r2", "r3"]);
    expect(counts).toEqual({ 200: 2, 401: 2 });
  });
});
