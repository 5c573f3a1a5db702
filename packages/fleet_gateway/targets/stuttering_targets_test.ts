import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { seededRandom } from "../requests/forwarding_fixture.ts";
import {
  ResponseEnd,
  ResponsePath,
} from "../exchanges/response_path_fixture.ts";
import type { ReceivedResponse } from "../exchanges/response_path_fixture.ts";

const requestCount = 600;
const callerCount = 12;
const copyShare = 0.3;

/** The body of the response to a request, which names it throughout. */
function bodyOf(name: string, size: number): string {
  return `${name};`.repeat(Math.ceil(size / (name.length + 1))).slice(0, size);
}

function headOf(name: string, framing: string): string {
  return `HTTP/1.1 200 OK\r\nrequest: ${name}\r\n${framing}\r\n`;
}

describe("a target that sends a copy of a response late", () => {
  let path: ResponsePath;
  let connectionCount: number;

  beforeEach(async () => {
    path = new ResponsePath();
    await path.start();
    connectionCount = 0;
  });

  afterEach(() => path.stop());

  /** Answers in two parts, and writes copies whatever else it is sending. */
  function stutter(
    random: () => number,
    isChunked: (name: string) => boolean,
  ): void {
    const known = new Set<Socket>();
    path.target.respond = (socket, text) => {
      if (!known.has(socket)) connectionCount += 1;
      known.add(socket);
      const name = text.split(" ")[1]!.slice(1);
      const body = bodyOf(name, 1 + Math.floor(random() * 30_000));
      bodies.set(name, body);
      const size = body.length;
      const middle = Math.floor(random() * size);
      const parts = isChunked(name)
        ? [
          headOf(name, "transfer-encoding: chunked\r\n"),
          `${size.toString(16)}\r\n${body.slice(0, middle)}`,
          `${body.slice(middle)}\r\n0\r\n\r\n`,
        ]
        : [
          headOf(name, `content-length: ${size}\r\n`) + body.slice(0, middle),
          body.slice(middle),
        ];
      void send(socket, parts, random);
    };
  }

  const bodies = new Map<string, string>();

  async function send(
    socket: Socket,
    parts: readonly string[],
    random: () => number,
  ): Promise<void> {
    for (const [at, part] of parts.entries()) {
      if (at > 0) await pause(random() * 4);
      socket.write(part);
    }
    if (random() >= copyShare) return;
    await pause(random() * 8);
    socket.write(parts.join(""));
  }

  function isForeign(name: string, received: ReceivedResponse): boolean {
    return received.status === 200 && received.end !== ResponseEnd.incomplete &&
      received.body !== bodies.get(name);
  }

  async function askMany(): Promise<{
    readonly foreign: readonly string[];
    readonly served: number;
  }> {
    const foreign: string[] = [];
    let served = 0;
    let next = 0;
    const call = async () => {
      while (next < requestCount) {
        const name = `r${next++}`;
        const received = await path.ask({ name });
        if (isForeign(name, received)) foreign.push(name);
        else if (received.status === 200) served += 1;
      }
    };
    await Promise.all(Array.from({ length: callerCount }, call));
    return { foreign, served };
  }

  // Guards against bytes of another request, written by another task of the target
  // into the body of the next response on the connection.
  it.each([1, 2, 3])(
    "does not mix it with the next response (seed %i)",
    async (seed) => {
      const random = seededRandom(seed);
      stutter(random, () => random() < 0.3);
      const { foreign, served } = await askMany();
      expect(foreign).toEqual([]);
      expect(served).toBeGreaterThan(requestCount * 0.95);
    },
  );

  // Guards against requests behind a copy that end as unknown again and again,
  // although a connection of their own would spare them that.
  it("costs no more than the requests in progress at its first copy", async () => {
    stutter(seededRandom(4), () => false);
    const { served } = await askMany();
    expect(served).toBeGreaterThanOrEqual(requestCount - callerCount);
    expect(connectionCount).toBeGreaterThan(requestCount / 2);
  });

  // Guards against a new connection for each request to a sound target, also one
  // that ends its responses with an empty line.
  it.each(["", "\r\n"])(
    "differs from a sound one, whose connections are reused (%j)",
    async (lineEnd) => {
      const connections = new Set<Socket>();
      path.target.respond = (socket, text) => {
        connections.add(socket);
        const name = text.split(" ")[1]!.slice(1);
        const body = bodyOf(name, 3000);
        bodies.set(name, body);
        socket.write(headOf(name, "content-length: 3000\r\n") + body + lineEnd);
      };
      const { foreign, served } = await askMany();
      expect([foreign, served]).toEqual([[], requestCount]);
      expect(connections.size).toBeLessThanOrEqual(2 * callerCount);
    },
  );

  // Guards against whole responses that are lost because a copy follows them.
  it("serves the response that the copy follows", async () => {
    path.target.respond = (socket, text) => {
      const name = text.split(" ")[1]!.slice(1);
      const own = headOf(name, "content-length: 4\r\n") + "body";
      bodies.set(name, "body");
      socket.write(own + own);
    };
    const { foreign, served } = await askMany();
    expect([foreign, served]).toEqual([[], requestCount]);
  });

  // Guards against a copy whose surplus is in the read after the one that ends the
  // body.
  it("is found if the bytes that it displaced are read later", async () => {
    const readBytes = 64 * 1024;
    let copy = "";
    const respond = (socket: Socket, text: string) => {
      const name = text.split(" ")[1]!.slice(1);
      if (name === "first") {
        copy = headOf(name, "content-length: 5\r\n") + "first";
        return void socket.write(copy);
      }
      const lengthLine = "content-length: 196000\r\n";
      const headBytes = headOf(name, lengthLine).length;
      const size = 3 * readBytes - headBytes;
      const head = headOf(name, lengthLine.replace("196000", String(size)));
      const body = bodyOf(name, size);
      socket.write(head + body.slice(0, 1000) + copy + body.slice(1000));
    };
    for (let count = 0; count < 20; count += 1) {
      path.target.respond = respond;
      await path.ask({ name: "first" });
      const { status, body } = await path.ask({ name: "second" });
      expect([status, body.includes("HTTP/1.1")]).toEqual([502, false]);
      path.stop();
      path = new ResponsePath();
      await path.start();
    }
  });

  // Guards against a large body that has begun on its way and is ended as whole
  // with a copy in its middle.
  it.each([270_000, 900_000])(
    "does not complete a large response with it (%i bytes)",
    async (largeBytes) => {
      let copy = "";
      path.target.respond = (socket, text) => {
        const name = text.split(" ")[1]!.slice(1);
        const size = name === "first" ? 1000 : largeBytes;
        const body = bodyOf(name, size);
        const head = headOf(name, `content-length: ${size}\r\n`);
        if (name === "first") {
          copy = head + body;
          return void socket.write(copy);
        }
        const middle = size / 2;
        socket.write(head + body.slice(0, middle) + copy + body.slice(middle));
      };
      expect((await path.ask({ name: "first" })).body.length).toBe(1000);
      const { status, end } = await path.ask({ name: "second" });
      expect(status === 200 && end === ResponseEnd.complete).toBe(false);
    },
  );
});
