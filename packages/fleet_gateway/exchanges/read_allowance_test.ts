import { createServer, Socket } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { once } from "node:events";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EndlessResponseError, ReadAllowance } from "./read_allowance.ts";

const sentBytes = 60_000;
const allowedBytes = 16 * 1024;

describe("the read allowance of a connection", () => {
  let server: Server;
  let socket: Socket;
  let allowance: ReadAllowance;
  let failure: Error | undefined;

  beforeEach(async () => {
    server = createServer((peer) => peer.end(Buffer.alloc(sentBytes, "x")));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    socket = new Socket();
    allowance = new ReadAllowance();
    allowance.limit(socket);
    failure = undefined;
    socket.on("error", (error) => (failure = error));
    socket.connect(port, "127.0.0.1");
    await once(socket, "readable");
  });

  afterEach(() => {
    socket.destroy();
    server.close();
  });

  /** Reads until nothing is returned; returns the sizes of the parts. */
  function readAll(onPart: (part: Buffer) => void = () => {}): number[] {
    const sizes: number[] = [];
    for (;;) {
      const part = socket.read();
      if (part === null) return sizes;
      sizes.push(part.length);
      onPart(part);
    }
  }

  it("ends a connection whose bytes bring no progress", async () => {
    const sizes = readAll();
    expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(allowedBytes);
    await new Promise((resolve) => socket.once("close", resolve));
    expect(failure).toBeInstanceOf(EndlessResponseError);
  });

  it("passes on everything while there is progress", async () => {
    let received = 0;
    socket.on("readable", () =>
      readAll((part) => {
        received += part.length;
        allowance.renew();
      }));
    await once(socket, "end");
    expect(received).toBe(sentBytes);
    expect(failure).toBeUndefined();
  });

  it("does not count bytes that are put back", () => {
    for (let count = 0; count < 5; count += 1) {
      socket.unshift(socket.read());
    }
    expect(readAll().length).toBeGreaterThan(0);
    expect(socket.destroyed).toBe(true);
  });

  it("returns nothing once the connection is destroyed", () => {
    expect(socket.readableLength).toBeGreaterThan(0);
    socket.destroy();
    expect(socket.read()).toBeNull();
  });
});
