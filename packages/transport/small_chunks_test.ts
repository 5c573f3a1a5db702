import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { request } from "undici";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { RequestBody } from "./body.ts";
import { HttpListener } from "./http_listener.ts";
import { PipelineLimits } from "./pipeline_limits.ts";

const host = `${loopbackPrefix()}.1`;
const port = 7394;
const loadMilliseconds = 1500;
const endlessRequests = 8;
/** Share of a core that they may take; a gateway has half a core. */
const maximumCores = 0.2;
/** Other requests may take longer by this much, of an aim of 600 ms. */
const maximumDelayMilliseconds = 60;
const soundRequests = 100;

/** Sends requests whose bodies repeat a chunk without end. */
const callersProgram = `
const net = require("node:net");
const [host, port, count, piece] = process.argv.slice(1);
const pieces = Buffer.from(piece.repeat(2700));
for (let at = 0; at < Number(count); at += 1) {
  const socket = net.connect(Number(port), host);
  socket.on("error", () => {});
  socket.write("POST /endless HTTP/1.1\\r\\nhost: a\\r\\n" +
    "transfer-encoding: chunked\\r\\n\\r\\n");
  const send = () => { while (!socket.destroyed && socket.write(pieces)); };
  socket.on("drain", send);
  send();
}
console.log("started");
setTimeout(() => process.exit(0), 60_000);
`;

describe("a request in small chunks", () => {
  let listener: HttpListener;
  let callers: ChildProcess | undefined;
  const sockets = new Set<Socket>();

  beforeAll(async () => {
    listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      handler: (received, response) => void handle(received, response),
      onUnreadable: () => {},
      pipelineLimits: new PipelineLimits(),
    });
  });

  afterEach(async () => {
    if (!callers) return;
    callers.kill();
    await once(callers, "close");
    callers = undefined;
    // What the callers have sent would still be read.
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    await pause(300);
  });

  afterAll(() => listener.destroy());

  /** Responds with the number of bytes of a body, once it has ended. */
  async function handle(
    received: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    sockets.add(received.socket);
    // Endless bodies end with their connections.
    try {
      const body = await RequestBody.receive(received, {
        maximumBytes: 1e9,
        maximumBufferedBytes: 128 * 1024,
      });
      response.end(String(await countBytes(body)));
    } catch {
      response.destroy();
    }
  }

  async function countBytes(body: RequestBody): Promise<number> {
    if (body.buffer) return body.buffer.length;
    let bytes = 0;
    for await (const part of body.open()!) bytes += (part as Buffer).length;
    return bytes;
  }

  async function startEndlessRequests(piece: string): Promise<void> {
    const words = [host, String(port), String(endlessRequests), piece];
    callers = spawn(process.execPath, ["-e", callersProgram, ...words]);
    await once(callers.stdout!, "data");
    await pause(300);
  }

  async function measureCores(work: () => Promise<unknown>): Promise<number> {
    const startedAt = performance.now();
    const before = process.cpuUsage();
    await work();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1000 / (performance.now() - startedAt);
  }

  async function measureDelay(): Promise<number> {
    const delays: number[] = [];
    const endAt = performance.now() + 2 * loadMilliseconds;
    for (let count = 0; count < soundRequests; count += 1) {
      if (performance.now() > endAt) break;
      const startedAt = performance.now();
      const { body } = await request(`http://${host}:${port}/sound`);
      expect(await body.text()).toBe("0");
      delays.push(performance.now() - startedAt);
    }
    return delays.sort((left, right) => left - right).at(-2)!;
  }

  const pieces: readonly (readonly [name: string, piece: string])[] = [
    ["of one byte", "1\r\nx\r\n"],
    ["of three bytes", "3\r\nxyz\r\n"],
    ["of twenty bytes", `14\r\n${"x".repeat(20)}\r\n`],
  ];

  // Guards against callers that take the event loop from all others.
  it.each(pieces)(
    "%s without end takes a bounded share of the processor",
    async (_name, piece) => {
      const idleCores = await measureCores(() => pause(loadMilliseconds));
      await startEndlessRequests(piece);
      const cores = await measureCores(() => pause(loadMilliseconds));
      expect(cores - idleCores).toBeLessThan(maximumCores);
    },
  );

  it.each(pieces)(
    "%s without end does not delay others",
    async (_name, piece) => {
      const aloneMilliseconds = await measureDelay();
      await startEndlessRequests(piece);
      const milliseconds = await measureDelay();
      expect(milliseconds - aloneMilliseconds).toBeLessThan(
        maximumDelayMilliseconds,
      );
    },
  );

  it.each([1000, 20_000, 200_000])(
    "is received whole, of %i bytes",
    async (length) => {
      const socket = connect(port, host);
      socket.write(
        "POST /whole HTTP/1.1\r\nhost: a\r\nconnection: close\r\n" +
          `transfer-encoding: chunked\r\n\r\n${
            "1\r\nx\r\n".repeat(length)
          }0\r\n\r\n`,
      );
      let received = "";
      socket.on("data", (chunk) => received += chunk);
      await once(socket, "close");
      expect(received.endsWith(`\r\n\r\n${length}`)).toBe(true);
    },
  );
});
