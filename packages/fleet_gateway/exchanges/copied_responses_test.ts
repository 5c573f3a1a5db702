import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ResponseEnd, ResponsePath } from "./response_path_fixture.ts";
import type { ReceivedResponse } from "./response_path_fixture.ts";

/** Longer than a gateway needs to read and pass on what was written before. */
const pauseMilliseconds = 40;
const firstBody = "first;".repeat(50);

function headOf(name: string, framing: string): string {
  return `HTTP/1.1 200 OK\r\nrequest: ${name}\r\n${framing}\r\n`;
}

const copy = headOf("first", `content-length: ${firstBody.length}\r\n`) +
  firstBody;

describe.each([false, true])("a late copy (relayed: %s)", (isRelayed) => {
  let path: ResponsePath;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    sockets.clear();
    path = new ResponsePath({ isRelayed });
    await path.start();
  });

  afterEach(() => path.stop());

  /** Answers a request as a sound target does, and the next one in these parts. */
  async function askTwice(
    parts: readonly string[],
    end: (socket: Socket) => void = () => {},
  ): Promise<ReceivedResponse> {
    path.target.respond = (socket, text) => {
      sockets.add(socket);
      if (text.startsWith("POST /first ")) return void socket.write(copy);
      void (async () => {
        for (const part of parts) {
          socket.write(part);
          await pause(pauseMilliseconds);
        }
        end(socket);
      })();
    };
    await path.ask({ name: "first" });
    return await path.ask({ name: "second" });
  }

  // Guards against a copy within a body whose end is that of its connection, on a
  // target that has sent none before.
  it("in a body without a length is not passed on as a part of it", async () => {
    const received = await askTwice(
      [headOf("second", "") + "own;", copy, "own;"],
      (socket) => socket.end(),
    );
    expect(sockets.size).toBe(1);
    expect([received.status, received.body.includes("first")])
      .toEqual([502, false]);
  });

  // Guards against a copy whose displaced bytes arrive after the length is reached.
  it("that fills a body up to its length is not passed on", async () => {
    const own = "own;".repeat(10);
    const rest = "x".repeat(copy.length);
    const length = own.length + rest.length;
    const received = await askTwice([
      headOf("second", `content-length: ${length}\r\n`) + own,
      copy,
      rest,
    ]);
    expect(sockets.size).toBe(1);
    expect([received.status, received.body.includes("first")])
      .toEqual([502, false]);
  });

  // Guards against the same in a body that is streamed.
  it("in a large body does not reach the end of it", async () => {
    const own = "own;".repeat(100_000);
    const rest = "x".repeat(copy.length);
    const length = own.length + rest.length;
    const received = await askTwice([
      headOf("second", `content-length: ${length}\r\n`) + own,
      copy,
      rest,
    ]);
    expect(sockets.size).toBe(1);
    expect(received.status === 200 && received.end !== ResponseEnd.incomplete)
      .toBe(false);
  });

  // Guards against a response without a length that is sent twice before its
  // connection ends, so that the second copy looks like a part of the body.
  it("behind a response without a length is not a part of its body", async () => {
    const own = headOf("only", "") + "own;";
    path.target.respond = (socket) => void socket.end(own + own);
    const { status, body } = await path.ask({ name: "only" });
    expect([status, body.includes("own;")]).toEqual([502, false]);
  });

  // Guards against a copy within the response that it repeats, which is the first
  // one on its connection.
  it.each([1000, 400_000])(
    "within its own response of %i bytes does not complete it",
    async (bytes) => {
      const head = headOf("only", `content-length: ${2 * bytes}\r\n`);
      const [begin, rest] = ["b".repeat(bytes), "r".repeat(bytes)];
      path.target.respond = (socket) =>
        void socket.write(head + begin + head + begin + rest + rest);
      const { status, end } = await path.ask({ name: "only" });
      expect(status === 200 && end !== ResponseEnd.incomplete).toBe(false);
    },
  );

  // Guards against whole responses that are lost because their bodies quote heads
  // of other responses, as those to batches do.
  it("is told from a head that the body of a sound target holds", async () => {
    const body =
      `--part\r\n${headOf("second", "a: b\r\n")}\r\nHTTP/1.1 200 OK\r\n` +
      `request: other\r\n\r\n--part--\r\nHTTP/1.1`;
    const received = await askTwice([
      headOf("second", `content-length: ${body.length}\r\n`) + body,
    ]);
    expect(sockets.size).toBe(1);
    expect([received.status, received.body]).toEqual([200, body]);
  });
});
