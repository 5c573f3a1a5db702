import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { CallerResponse } from "./caller_response.ts";
import type { ResponseHead } from "./exchange.ts";

/** What a caller received before its connection ended. */
interface Received {
  readonly text: string;
  /** Whether the connection was reset. */
  readonly wasReset: boolean;
}

const head = {
  status: 200,
  headers: { "x-response-signature": "s" },
} as unknown as ResponseHead;
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

  function beginAndFail(response: CallerResponse): void {
    response.begin(head, [part]);
    setTimeout(() => response.fail(), 50);
  }

  // Guards against a part of a response without a length that looks whole,
  // because the end of its connection is the only mark of its end.
  it("without a length is complete only with its last chunk", async () => {
    const { text } = await receive("1.1", (response) => {
      response.begin(head, [part]);
      response.write(part);
      response.end();
    });
    expect(text).toMatch(/\r\ntransfer-encoding: chunked\r\n/i);
    expect(text.endsWith(lastChunk)).toBe(true);
    const incomplete = await receive("1.1", beginAndFail);
    expect(incomplete.text).toContain("p".repeat(1000));
    expect(incomplete.text.endsWith(lastChunk)).toBe(false);
  });

  // Guards against the same with a caller that knows no chunks.
  it("without a length is reset for a caller of HTTP/1.0", async () => {
    const whole = await receive("1.0", (response) => {
      response.begin(head, [part]);
      response.end();
    });
    expect(whole.wasReset).toBe(false);
    expect((await receive("1.0", beginAndFail)).wasReset).toBe(true);
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
});
