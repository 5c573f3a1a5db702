import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { describe, expect, it } from "vitest";
import { HttpListener } from "./http_listener.ts";

const responseBytes = 24 * 1024 * 1024;

async function openListener(
  body: Buffer,
): Promise<{ listener: HttpListener; host: string; port: number }> {
  const host = `${loopbackPrefix()}.1`;
  const port = 7391;
  const listener = await HttpListener.open({
    name: "callers",
    address: `${host}:${port}`,
    handler: (_request, response) => {
      response.writeHead(200, { "content-length": body.length });
      response.end(body);
    },
  });
  return { listener, host, port };
}

describe("closing a listener", () => {
  it("completes a large response to a caller that reads slowly", async () => {
    const { listener, host, port } = await openListener(
      Buffer.alloc(responseBytes, "x"),
    );
    const socket = connect(port, host);
    let received = 0;
    socket.on("data", (chunk) => (received += chunk.length));
    const closed = new Promise<void>((resolve) =>
      socket.once("close", () => resolve())
    );
    socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    await new Promise((resolve) => socket.once("data", resolve));
    socket.pause();
    const stopped = listener.close();
    await pause(300);
    socket.resume();
    await stopped;
    await closed;
    expect(received).toBeGreaterThan(responseBytes);
  });

  it("closes idle connections immediately", async () => {
    const { listener, host, port } = await openListener(Buffer.from("whole"));
    const socket = connect(port, host);
    socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    await new Promise((resolve) => socket.once("data", resolve));
    await pause(20);
    const startedAt = performance.now();
    await listener.close();
    expect(performance.now() - startedAt).toBeLessThan(500);
    socket.destroy();
  });
});

describe("a request that takes long", () => {
  async function send(requestTimeoutMilliseconds: number): Promise<string> {
    const host = `${loopbackPrefix()}.1`;
    const port = 7396;
    const listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      handler: (request, response) => {
        request.resume();
        request.once("end", () => response.end("whole"));
      },
      requestTimeoutMilliseconds,
      headersTimeoutMilliseconds: 100,
      checkIntervalMilliseconds: 20,
    });
    const socket = connect(port, host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(
      "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n" +
        "content-length: 10\r\n\r\n",
    );
    await pause(600);
    socket.write("1234567890");
    await closed;
    listener.destroy();
    return received;
  }

  it("is ended after the time-out of its listener", async () => {
    expect(await send(200)).not.toContain("whole");
  });

  it("goes on if its listener has none", async () => {
    expect(await send(0)).toContain("whole");
  });
});
