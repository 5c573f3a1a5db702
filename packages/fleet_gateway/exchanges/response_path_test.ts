import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ResponseEnd, ResponsePath } from "./response_path_fixture.ts";
import type { ReceivedResponse } from "./response_path_fixture.ts";

/** What marks the end of a body that a target sends. */
const Mark = {
  length: "a length",
  lengthAndClose: "a length and Connection: close",
  chunks: "chunks",
  chunksAndClose: "chunks and Connection: close",
  connection: "the end of its connection",
  connectionOf10: "the end of its connection, in HTTP/1.0",
  identity: "the end of its connection, with Transfer-Encoding: identity",
} as const;
type Mark = typeof Mark[keyof typeof Mark];

/** Marks by which a part and the whole cannot be told apart. */
const openMarks: ReadonlySet<Mark> = new Set([
  Mark.connection,
  Mark.connectionOf10,
  Mark.identity,
]);

/** How a target ends a response. */
const TargetEnd = {
  whole: "whole",
  /** Ends its connection in order in the middle of the body. */
  ended: "ended in order",
  reset: "reset",
  /** Sends no more in the middle of the body. */
  stalled: "stalled",
} as const;
type TargetEnd = typeof TargetEnd[keyof typeof TargetEnd];

const sizes = [1, 3000, 300_000, 1_500_000];
const stalledDeadlineMilliseconds = 600;
const pieceBytes = 64 * 1024;
/** Slow enough that each large body waits, and whole within the deadline. */
const linkMegabitsPerSecond = 80;

const headLines: Readonly<Record<Mark, string>> = {
  [Mark.length]: "content-length: SIZE\r\n",
  [Mark.lengthAndClose]: "content-length: SIZE\r\nconnection: close\r\n",
  [Mark.chunks]: "transfer-encoding: chunked\r\n",
  [Mark.chunksAndClose]: "transfer-encoding: chunked\r\nconnection: close\r\n",
  [Mark.connection]: "connection: close\r\n",
  [Mark.connectionOf10]: "",
  [Mark.identity]: "transfer-encoding: identity\r\n",
};

interface Case {
  readonly mark: Mark;
  readonly size: number;
  readonly targetEnd: TargetEnd;
  readonly httpVersion: "1.0" | "1.1";
}

/** A body whose parts differ by their place. */
function createBody(size: number): string {
  return Array.from(
    { length: Math.ceil(size / 8) },
    (_, at) => String(at).padStart(8, "-"),
  ).join("").slice(0, size);
}

/** Writes a response in pieces and ends it. */
async function writeResponse(
  socket: Socket,
  id: string,
  { mark, size, targetEnd }: Omit<Case, "httpVersion">,
): Promise<void> {
  const version = mark === Mark.connectionOf10 ? "1.0" : "1.1";
  const lines = headLines[mark].replace("SIZE", String(size));
  socket.write(`HTTP/${version} 200 OK\r\nrequest: ${id}\r\n${lines}\r\n`);
  const isWhole = targetEnd === TargetEnd.whole;
  const body = createBody(size).slice(0, isWhole ? size : size / 2);
  const hasChunks = lines.includes("chunked");
  for (let at = 0; at < body.length; at += pieceBytes) {
    const piece = body.slice(at, at + pieceBytes);
    socket.write(
      hasChunks ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece,
    );
    await pause(1);
  }
  if (isWhole && hasChunks) socket.write("0\r\n\r\n");
  switch (targetEnd) {
    case TargetEnd.whole:
      if (openMarks.has(mark)) socket.end();
      return;
    case TargetEnd.ended:
      socket.end();
      return;
    case TargetEnd.reset:
      // Otherwise the reset overtakes what was written.
      await pause(50);
      socket.resetAndDestroy();
  }
}

/** Returns what is wrong with a response that a caller received. */
function findFault(
  { mark, size, targetEnd }: Case,
  received: ReceivedResponse,
): string | undefined {
  const body = createBody(size);
  const isOpen = openMarks.has(mark);
  if (targetEnd === TargetEnd.whole) {
    if (received.status !== 200) return `lost: status ${received.status}`;
    if (received.end === ResponseEnd.incomplete) return "lost: incomplete";
    if (received.body !== body) return "lost: not the body";
    if (isOpen && received.end === ResponseEnd.complete) return "claimed";
    return undefined;
  }
  if (received.status !== 200) return undefined;
  if (received.end === ResponseEnd.complete) return "claimed";
  const mayBeOpen = isOpen && targetEnd === TargetEnd.ended;
  if (received.end === ResponseEnd.open && !mayBeOpen) return "looks whole";
  return body.startsWith(received.body) ? undefined : "other bytes";
}

describe.each([
  ["one gateway", {}],
  ["two gateways", { isRelayed: true }],
  [
    "two gateways, the second of an earlier release",
    { isRelayed: true, isSecondEarlier: true },
  ],
  // Guards against a part that looks whole, or bytes that are lost, in slices.
  ["one gateway that paces", { linkMegabitsPerSecond }],
  ["two gateways that pace", { isRelayed: true, linkMegabitsPerSecond }],
])("a response on its way through %s", (_name, options) => {
  let path: ResponsePath;

  beforeEach(async () => {
    path = new ResponsePath(options);
    await path.start();
  });

  afterEach(() => path.stop());

  async function play(each: Case): Promise<ReceivedResponse> {
    const { mark, size, targetEnd, httpVersion } = each;
    const marks = Object.values(Mark).indexOf(mark);
    const name = `${marks}.${size}.${targetEnd.replaceAll(" ", "")}` +
      `.${httpVersion}`;
    cases.set(name, each);
    return await path.ask({
      name,
      httpVersion,
      ...(targetEnd === TargetEnd.stalled &&
        { deadlineMilliseconds: stalledDeadlineMilliseconds }),
    });
  }

  const cases = new Map<string, Case>();

  function respondToCases(): void {
    path.target.respond = (socket, text) => {
      const name = text.split(" ")[1]!.slice(1);
      void writeResponse(socket, name, cases.get(name)!);
    };
  }

  /** Plays every end of a response at every size, for callers of both versions. */
  async function expectNoFaults(mark: Mark): Promise<void> {
    respondToCases();
    const faults: string[] = [];
    for (const targetEnd of Object.values(TargetEnd)) {
      const played = sizes.flatMap((size) =>
        (["1.0", "1.1"] as const).map((httpVersion) => {
          const each = { mark, size, targetEnd, httpVersion };
          return play(each).then((received) => {
            const fault = findFault(each, received);
            if (!fault) return;
            faults.push(
              `${size} bytes, ${targetEnd}, HTTP/${httpVersion}: ${fault}`,
            );
          });
        })
      );
      await Promise.all(played);
    }
    expect(faults).toEqual([]);
  }

  // Guards against a part of a response that its gateway passes on in a form which
  // says that it is whole, and against whole responses that are lost.
  for (const mark of Object.values(Mark)) {
    it(`that has ${mark} claims no more than its target`, async () => {
      await expectNoFaults(mark);
    });
  }

  // Guards against the same where there is no memory to hold the response.
  it("that has the end of its connection claims no more if it is streamed", async () => {
    path.stop();
    path = new ResponsePath({ ...options, responseMemoryBytes: 0 });
    await path.start();
    await expectNoFaults(Mark.connection);
  });

  // Guards against a part of a body that no line of the log tells from the whole.
  it("is logged with its framing if only its connection marks its end", async () => {
    respondToCases();
    const targetEnd = TargetEnd.ended;
    const each = { mark: Mark.connection, size: 3000, targetEnd } as const;
    const { body } = await play({ ...each, httpVersion: "1.1" });
    expect(path.lines).toContainEqual(expect.objectContaining({
      event: "response-forwarded",
      target: "t0",
      status: 200,
      received: "connection",
      sent: "connection",
      isStreamed: false,
      bytes: body.length,
    }));
  });

  describe("in an odd form", () => {
    const head = "HTTP/1.1 200 OK\r\nrequest: odd\r\n";
    const chunked = "transfer-encoding: chunked\r\n\r\n";
    const whole: readonly (readonly [string, string])[] = [
      [
        "interim responses",
        `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${head}content-length: 5\r\n\r\nwhole`,
      ],
      ["a chunk's extension", `${head}${chunked}5;a=b\r\nwhole\r\n0\r\n\r\n`],
      ["trailers", `${head}${chunked}5\r\nwhole\r\n0\r\na: b\r\n\r\n`],
      [
        "chunks in HTTP/1.0",
        `HTTP/1.0 200 OK\r\nrequest: odd\r\n${chunked}5\r\nwhole\r\n0\r\n\r\n`,
      ],
      [
        "capitals in its coding",
        `${head}Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
      ],
    ];
    const unreadable: readonly (readonly [string, string])[] = [
      [
        "a length and chunks",
        `${head}content-length: 3\r\n${chunked}5\r\nwhole\r\n0\r\n\r\n`,
      ],
      [
        "two lengths",
        `${head}content-length: 5\r\ncontent-length: 3\r\n\r\nwhole`,
      ],
      ["a list of lengths", `${head}content-length: 5, 3\r\n\r\nwhole`],
      ["no number as length", `${head}content-length: five\r\n\r\nwhole`],
      ["a sign in its length", `${head}content-length: +5\r\n\r\nwhole`],
      [
        "another coding",
        `${head}transfer-encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
      ],
      ["a coding alone", `${head}transfer-encoding: gzip\r\n\r\nwhole`],
      [
        "chunks before another coding",
        `${head}transfer-encoding: chunked, identity\r\n\r\nwhole`,
      ],
      [
        "no number as chunk size",
        `${head}${chunked}five\r\nwhole\r\n0\r\n\r\n`,
      ],
      ["a sign in a chunk size", `${head}${chunked}-5\r\nwhole\r\n0\r\n\r\n`],
    ];

    async function askFor(text: string): Promise<ReceivedResponse> {
      path.target.respond = (socket) => socket.end(text);
      return await path.ask({ name: "odd" });
    }

    it.each(whole)("with %s is whole", async (_form, text) => {
      const { status, body, end } = await askFor(text);
      expect([status, body, end]).toEqual([200, "whole", ResponseEnd.complete]);
    });

    // Guards against a body whose end two hops see at different places.
    it.each(unreadable)("with %s is no response", async (_form, text) => {
      expect((await askFor(text)).status).toBe(502);
    });
  });

  // Guards against the same part, where the gateway is lost while it passes the
  // response on.
  for (const mark of Object.values(Mark)) {
    it(`that has ${mark} does not look whole when a gateway is killed`, async () => {
      const size = 600_000;
      const body = createBody(size);
      const faults: string[] = [];
      for (const sentBytes of [100, 200_000, 400_000, 599_000]) {
        path.target.respond = (socket, text) => {
          const name = text.split(" ")[1]!.slice(1);
          const each = { mark, size: sentBytes * 2 };
          void writeResponse(socket, name, {
            ...each,
            targetEnd: TargetEnd.stalled,
          });
        };
        for (const isFirst of [true, false]) {
          const asked = path.ask({ name: `killed${sentBytes}${isFirst}` });
          await pause(60);
          if (isFirst) path.kill();
          else path.killLastGateway();
          const { status, end, body: part } = await asked;
          const looksWhole = status === 200 && part !== body &&
            end !== ResponseEnd.incomplete;
          if (looksWhole) faults.push(`${sentBytes} bytes: ${end}`);
        }
      }
      expect(faults).toEqual([]);
    });
  }

  describe("without a length, that is held until its end is known", () => {
    const mebibyte = 1024 * 1024;
    const size = 3 * mebibyte;
    const held = () => path.gateway.responseMemory.usedBytes;

    function sendParts(targetEnd: TargetEnd): void {
      path.target.respond = (socket, text) => {
        const name = text.split(" ")[1]!.slice(1);
        void writeResponse(socket, name, {
          mark: Mark.connection,
          size: targetEnd === TargetEnd.whole ? size : size * 2,
          targetEnd,
        });
      };
    }

    const ask = (name: string, httpVersion: "1.0" | "1.1" = "1.1") =>
      path.ask({ name, httpVersion });

    // Guards against memory that grows with the number of such responses, and
    // against responses that are lost because there is none.
    it("uses no more than its memory, and is streamed beyond that", async () => {
      path.stop();
      path = new ResponsePath({
        ...options,
        responseMemoryBytes: 4 * mebibyte,
      });
      await path.start();
      sendParts(TargetEnd.stalled);
      const count = 6;
      const asked = Array.from({ length: count }, (_, at) => ask(`a${at}`));
      await expect.poll(held, { timeout: 10_000 }).toBeGreaterThan(
        3 * mebibyte,
      );
      await pause(300);
      expect(held()).toBeLessThanOrEqual(4 * mebibyte);
      path.kill();
      await Promise.all(asked);
      await expect.poll(held).toBe(0);
      sendParts(TargetEnd.whole);
      const whole = await Promise.all(
        Array.from({ length: count }, (_, at) => ask(`b${at}`)),
      );
      for (const { end, body } of whole) {
        expect([end, body === createBody(size)]).toEqual(["open", true]);
      }
    });

    // Guards against memory that is kept after the response, also for a caller
    // that reads slowly.
    it("returns its memory when it has been passed on, lost or left", async () => {
      for (const targetEnd of Object.values(TargetEnd)) {
        sendParts(targetEnd);
        const asked = path.ask({
          name: targetEnd.replaceAll(" ", ""),
          deadlineMilliseconds: stalledDeadlineMilliseconds,
          onData: (_bytes, socket) => {
            socket.pause();
            setTimeout(() => socket.resume(), 5);
          },
        });
        await asked;
        await expect.poll(held).toBe(0);
      }
    });
  });
});

describe("a response without a length on its way between two gateways", () => {
  // Guards against a part of a body that the gateway before takes for the whole,
  // as the end of the connection to a gateway that was killed marks its end.
  it("is not passed on if the second gateway is killed while it sends", async () => {
    const path = new ResponsePath({ isRelayed: true });
    await path.start();
    const size = 7_900_000;
    path.target.respond = (socket, text) => {
      const name = text.split(" ")[1]!.slice(1);
      const targetEnd = TargetEnd.whole;
      void writeResponse(socket, name, {
        mark: Mark.connection,
        size,
        targetEnd,
      });
    };
    const whole = await path.ask({ name: "whole" });
    expect([whole.end, whole.body.length]).toEqual([ResponseEnd.open, size]);
    path.onLine = (event) => {
      if (event === "response-forwarded") path.killLastGateway();
    };
    const received = [await path.ask({ name: "killed-at-its-end" })];
    path.onLine = () => {};
    const asked = path.ask({ name: "killed-in-the-middle" });
    await pause(40);
    path.killLastGateway();
    received.push(await asked);
    path.stop();
    const looksWhole = received.filter(({ status, end, body }) =>
      status === 200 && end !== ResponseEnd.incomplete && body.length < size
    );
    expect(looksWhole).toEqual([]);
  });
});
