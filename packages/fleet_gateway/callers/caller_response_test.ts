import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import type { Readable } from "node:stream";
import { RequestBody } from "@kingcupglade/transport";
import { afterEach, describe, expect, it } from "vitest";
import { CallerResponse } from "./caller_response.ts";
import type { ResponseHead } from "../exchanges/exchange.ts";
import { BodyFraming } from "./response_framing.ts";

/** What a caller received before its connection ended. */
interface Received {
  readonly text: string;
  /** Whether the connection was reset. */
  readonly wasReset: boolean;
}

/** The head of a response with that framing. */
function headWith(framing: BodyFraming, headers = {}): ResponseHead {
  return {
    status: 200,
    headers: { "x-response-signature": "s", ...headers },
    framing,
  } as unknown as ResponseHead;
}

const head = headWith(BodyFraming.connection);
const chunkedHead = headWith(BodyFraming.chunks);
const part = Buffer.alloc(100_000, "p");
const lastChunk = "\r\n0\r\n\r\n";

describe("the response to a caller", () => {
  let server: Server;

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Sends a request by hand and returns what it receives. */
  async function receive(
    httpVersion: "1.0" | "1.1",
    respond: (response: CallerResponse) => void,
  ): Promise<Received> {
    server = createServer((_request, response) =>
      respond(new CallerResponse(response))
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.write(
      `GET / HTTP/${httpVersion}\r\nhost: h\r\nconnection: close\r\n\r\n`,
    );
    return await new Promise((resolve) => {
      let text = "";
      socket.on("data", (chunk) => (text += chunk.toString("latin1")));
      socket.once("error", () => resolve({ text, wasReset: true }));
      socket.once("close", () => resolve({ text, wasReset: false }));
    });
  }

  const beginAndFail = (head: ResponseHead) => (response: CallerResponse) => {
    response.begin(head, [part]);
    setTimeout(() => response.fail(), 50);
  };

  const beginAndEnd = (head: ResponseHead) => (response: CallerResponse) => {
    response.begin(head, [part]);
    response.write(part);
    response.end();
  };

  // Guards against a part of a response in chunks that looks whole.
  it("in chunks is complete only with its last chunk", async () => {
    const { text } = await receive("1.1", beginAndEnd(chunkedHead));
    expect(text).toMatch(/\r\ntransfer-encoding: chunked\r\n/i);
    expect(text.endsWith(lastChunk)).toBe(true);
    const incomplete = await receive("1.1", beginAndFail(chunkedHead));
    expect(incomplete.text).toContain("p".repeat(1000));
    expect(incomplete.text.endsWith(lastChunk)).toBe(false);
  });

  // Guards against the same with a caller that knows no chunks, and against a
  // response without a length whose end is claimed.
  it.each(
    [
      ["1.0", head],
      ["1.1", head],
      ["1.0", chunkedHead],
    ] as const,
  )(
    "without a length is reset if it fails, and claims no end (%s, %#)",
    async (httpVersion, each) => {
      const whole = await receive(httpVersion, beginAndEnd(each));
      expect(whole.wasReset).toBe(false);
      expect(whole.text).not.toMatch(
        /\r\n(content-length|transfer-encoding):/i,
      );
      expect(whole.text.endsWith("p".repeat(200_000))).toBe(true);
      const failed = await receive(httpVersion, beginAndFail(each));
      expect(failed.wasReset).toBe(true);
    },
  );

  it("states the length of a body that is left out", async () => {
    const bodiless = headWith(BodyFraming.none, { "content-length": "7" });
    const { text } = await receive(
      "1.1",
      (response) =>
        response.forward({ ...bodiless, status: 304 }, Buffer.alloc(0)),
    );
    expect(text).toMatch(/\r\ncontent-length: 7\r\n/i);
  });

  // Its target may have broken it off, which only its own form tells.
  it("that is buffered stays without a length", async () => {
    const { text } = await receive(
      "1.1",
      (response) => response.forward(head, Buffer.from("whole")),
    );
    expect(text).not.toMatch(/\r\n(content-length|transfer-encoding):/i);
    expect(text.endsWith("\r\n\r\nwhole")).toBe(true);
  });

  describe("to a request whose body is not read", () => {
    const early: ResponseHead = {
      ...headWith(BodyFraming.length, { "content-length": "5" }),
      status: 413,
    };
    const longBytes = 1_000_000;
    /** Beyond what is read of a body that nobody needs. */
    const tooLongBytes = 100_000_000;
    const next = "GET /next HTTP/1.1\r\nhost: h\r\n\r\n";
    const answers = {
      "of a target": (response: CallerResponse) =>
        response.forward(early, Buffer.from("early")),
      "of the gateway": (response: CallerResponse) =>
        response.respond({ status: 503, reason: "no room" }),
      "that is streamed": (response: CallerResponse) => {
        response.begin(early, [Buffer.from("early")]);
        response.end();
      },
    } as const;
    let requests: string[];

    // An exchange that ends early has sent the first bytes of the body.
    async function readFirstBytes(request: IncomingMessage): Promise<void> {
      const body = await RequestBody.receive(request, {
        maximumBytes: Infinity,
        maximumBufferedBytes: 1000,
      });
      const stream = body.open() as Readable;
      await once(stream, "data");
      stream.destroy();
    }

    /** Sends a head, parts of a body, and the next request on a connection. */
    async function converse(
      options: {
        readonly headers: string;
        readonly parts: AsyncIterable<string> | Iterable<string>;
        readonly respond: (response: CallerResponse) => void;
      },
    ): Promise<{ readonly text: string; readonly failure: string }> {
      requests = [];
      server = createServer((request, response) => {
        requests.push(request.url ?? "");
        const answer = new CallerResponse(response);
        if (request.url === "/next") {
          return answer.forward(head, Buffer.from("the next response"));
        }
        void readFirstBytes(request).then(() => options.respond(answer));
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      const socket = connect(port, "127.0.0.1");
      let text = "";
      let failure = "";
      const closed = new Promise<void>((resolve) =>
        socket.once("close", () => resolve())
      );
      socket.on("data", (chunk) => (text += chunk.toString("latin1")));
      socket.on("error", ({ message }) => (failure = message));
      socket.write(`POST /long HTTP/1.1\r\nhost: h\r\n${options.headers}\r\n`);
      for await (const part of options.parts) {
        if (socket.destroyed) break;
        socket.write(part);
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      if (!/connection: close/i.test(text)) socket.write(next);
      await Promise.race([
        closed,
        new Promise((resolve) => setTimeout(resolve, 4000)),
      ]);
      socket.destroy();
      return { text, failure };
    }

    const parts = Array.from({ length: 10 }, () => "b".repeat(longBytes / 10));

    // Guards against a next request that is never read.
    it.each(Object.entries(answers))(
      "leaves a connection that serves the next request: %s",
      async (_name, respond) => {
        const headers = `content-length: ${longBytes}\r\n`;
        const { text } = await converse({ headers, parts, respond });
        expect(requests).toEqual(["/long", "/next"]);
        expect(text).toContain("the next response");
        expect(text).not.toMatch(/connection: close.*early/is);
      },
    );

    it("closes the connection in order after a body in chunks", async () => {
      const chunks = [
        ...parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`),
        "0\r\n\r\n",
      ];
      const { text, failure } = await converse({
        headers: "transfer-encoding: chunked\r\n",
        parts: chunks,
        respond: answers["of a target"],
      });
      expect(requests).toEqual(["/long"]);
      expect(text).toMatch(/^HTTP\/1.1 413 [^]*connection: close[^]*early$/i);
      expect(failure).toBe("");
    });

    it("says that it closes the connection after a body that is too long", async () => {
      const { text } = await converse({
        headers: `content-length: ${tooLongBytes}\r\n`,
        parts,
        respond: answers["of a target"],
      });
      expect(requests).toEqual(["/long"]);
      expect(text).toMatch(/^HTTP\/1.1 413 [^]*connection: close[^]*early$/i);
    });

    it("ends the connection of a caller that sends without end", async () => {
      let sent = 0;
      const startedAt = performance.now();
      const endless = (function* () {
        for (;;) {
          if (performance.now() - startedAt > 10_000) return;
          sent += 1;
          yield "5\r\nbbbbb\r\n";
        }
      })();
      const { text } = await converse({
        headers: "transfer-encoding: chunked\r\n",
        parts: endless,
        respond: answers["of the gateway"],
      });
      expect(sent).toBeGreaterThan(0);
      expect(performance.now() - startedAt).toBeLessThan(5000);
      expect(text).toContain("503");
    });
  });
});

describe("a response that is sent before its request was read to its end", () => {
  // Guards against a refusal that closes the connection of a request without a
  // body: the requests that its caller sent behind it were reset.
  it("keeps the connection for the next request if there is no body", async () => {
    const server = createServer((_request, response) =>
      new CallerResponse(response).respond({ status: 503, reason: "no room" })
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => (text += chunk.toString("latin1")));
    const request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    socket.write(request + request);
    socket.end("GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    await once(socket, "close");
    server.close();
    expect(text.match(/HTTP\/1\.1 503/g)).toHaveLength(3);
    expect(text.match(/connection: close/gi)).toHaveLength(1);
  });
});
