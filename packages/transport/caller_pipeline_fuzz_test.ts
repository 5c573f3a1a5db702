import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { HttpListener } from "./http_listener.ts";
import { PipelineLimits } from "./pipeline_limits.ts";

const address = { host: `${loopbackPrefix()}.1`, port: 7393 };
const concurrent = 3;
/** Time after which responses that have not come count as lost. */
const lossMilliseconds = 5000;

/** A request and how it is answered. */
interface Exchange {
  readonly form: "get" | "length" | "chunks" | "closing";
  readonly bodyBytes: number;
  readonly responseBytes: number;
  readonly delayMilliseconds: number;
}

const exchanges: fc.Arbitrary<Exchange[]> = fc.array(
  fc.record({
    form: fc.constantFrom(
      ...["get", "get", "get", "get", "length", "chunks", "closing"] as const,
    ),
    bodyBytes: fc.constantFrom(0, 3, 5000, 90_000),
    responseBytes: fc.constantFrom(0, 10, 10, 10, 20_000, 200_000),
    delayMilliseconds: fc.constantFrom(0, 0, 1, 5, 12),
  }),
  { minLength: 1, maxLength: 14 },
);

function encode({ form, bodyBytes }: Exchange, index: number): string {
  const head = (method: string, header: string) =>
    `${method} /${index} HTTP/1.1\r\nhost: a\r\n${header}\r\n`;
  // Empty lines and what looks like a request are part of a body.
  const body = `GET /x HTTP/1.1\r\n\r\n\n\n`.repeat(bodyBytes).slice(
    0,
    bodyBytes,
  );
  switch (form) {
    case "get":
      return head("GET", "");
    case "closing":
      return head("GET", "connection: close\r\n");
    case "length":
      return head("POST", `content-length: ${body.length}\r\n`) + body;
    case "chunks": {
      const chunk = body === ""
        ? ""
        : `${body.length.toString(16)}\r\n${body}\r\n`;
      return `${
        head("POST", "transfer-encoding: chunked\r\n")
      }${chunk}0\r\n\r\n`;
    }
  }
}

/** What a listener does with the requests of one connection. */
class Play {
  readonly started: number[] = [];
  readonly bodies = new Map<number, number>();
  readonly faults: string[] = [];
  readonly #given: readonly Exchange[];
  readonly #running = new Set<number>();

  constructor(given: readonly Exchange[]) {
    this.#given = given;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const index = Number(request.url!.slice(1));
    const { form, responseBytes, delayMilliseconds } = this.#given[index]!;
    const isSafe = form === "get" || form === "closing";
    const others = [...this.#running];
    this.started.push(index);
    this.#running.add(index);
    response.once("close", () => this.#running.delete(index));
    if (this.#running.size > concurrent) this.faults.push("beyond the bound");
    const isAlone = others.every((each) =>
      isSafe && ["get", "closing"].includes(this.#given[each]!.form)
    );
    if (!isAlone) this.faults.push("beside one that is not safe");
    let bytes = 0;
    request.on("data", (chunk: Buffer) => (bytes += chunk.length));
    request.once("end", () => {
      this.bodies.set(index, bytes);
      setTimeout(() => {
        response.setHeader("number", index);
        response.write("x".repeat(responseBytes));
        response.end(`end of ${index};`);
      }, delayMilliseconds);
    });
  }
}

describe("a connection with any pipelined requests", () => {
  let listener: HttpListener;
  let play: Play;
  const limits = new PipelineLimits({ concurrentPerConnection: concurrent });

  beforeAll(async () => {
    listener = await HttpListener.open({
      name: "callers",
      address: `${address.host}:${address.port}`,
      handler: (request, response) => play.handle(request, response),
      pipelineLimits: limits,
    });
  });

  afterAll(() => listener.destroy());

  /** Returns the numbers of the responses that the caller received whole. */
  async function send(bytes: Buffer, cuts: readonly number[], count: number) {
    const caller = connect(address);
    let received = "";
    let isClosed = false;
    caller.on("data", (chunk) => (received += chunk.toString("latin1")));
    caller.once("close", () => (isClosed = true));
    // The listener may close its side before the caller has sent all.
    caller.on("error", () => {});
    caller.setNoDelay(true);
    const ends = [...new Set(cuts.map((cut) => cut % bytes.length))]
      .sort((one, other) => one - other);
    let from = 0;
    for (const to of [...ends, bytes.length]) {
      caller.write(bytes.subarray(from, to));
      from = to;
      await pause(0);
    }
    const numbers = () =>
      [...received.matchAll(/end of (\d+);/g)].map(([, each]) => Number(each));
    const until = performance.now() + lossMilliseconds;
    while (!isClosed && numbers().length < count && performance.now() < until) {
      await pause(1);
    }
    caller.destroy();
    return numbers();
  }

  // Guards against requests that are lost, mixed up or started too early, whatever
  // their forms and however their bytes arrive.
  it("answers them in order, within the bound, up to one that closes", async () => {
    await fc.assert(
      fc.asyncProperty(
        exchanges,
        fc.array(fc.nat(400_000), { maxLength: 30 }),
        async (given, cuts) => {
          play = new Play(given);
          const closing = given.findIndex(({ form }) => form === "closing");
          const count = closing < 0 ? given.length : closing + 1;
          const expected = Array.from({ length: count }, (_, index) => index);
          const bytes = Buffer.from(given.map(encode).join(""), "latin1");
          expect(await send(bytes, cuts, count)).toEqual(expected);
          expect(play.started).toEqual(expected);
          expect(play.faults).toEqual([]);
          for (const [index, bytes] of play.bodies) {
            const { form, bodyBytes } = given[index]!;
            const hasBody = form === "length" || form === "chunks";
            expect(bytes).toBe(hasBody ? bodyBytes : 0);
          }
          while (limits.usedBytes > 0) await pause(1);
        },
      ),
      { numRuns: 150, seed: 7, endOnFailure: true },
    );
  });
});
