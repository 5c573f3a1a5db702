import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { MonotonicClock } from "@kingcupglade/tasks";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { TargetConnections } from "./target_connections.ts";

const limitMilliseconds = 200;
/** Allows for a busy machine; the system repeats the packet after a second. */
const delayMilliseconds = 400;

/** Listens, and accepts no connection. */
const listener = `
const { createServer } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const server = createServer();
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
  parentPort.postMessage(server.address().port);
  Atomics.wait(new Int32Array(workerData), 0, 0);
});
`;

describe("a target whose queue of new connections is full", () => {
  const queued: Socket[] = [];
  let worker: Worker;
  let connections: TargetConnections;
  let address: string;

  beforeEach(async () => {
    worker = new Worker(listener, {
      eval: true,
      workerData: new SharedArrayBuffer(4),
    });
    const [port] = await once(worker, "message") as [number];
    address = `127.0.0.1:${port}`;
    for (let count = 0; count < 4; count += 1) {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {});
      queued.push(socket);
    }
    await once(queued[0]!, "connect");
    connections = new TargetConnections({
      clock: new MonotonicClock(),
      connectTimeoutMilliseconds: limitMilliseconds,
    });
  });

  afterEach(async () => {
    connections.close();
    for (const socket of queued.splice(0)) socket.destroy();
    await worker.terminate();
  });

  // Failure: a connection with a limit of 700 ms was opened by the packet that
  // the system sent again after a second, and its request was as late.
  it("is given up at the limit for opening a connection", async () => {
    const { client } = connections.acquire(address, { mustBeFresh: false });
    const startedAt = performance.now();
    await expect(client.request({ path: "/", method: "GET" })).rejects.toThrow(
      /connect/i,
    );
    const milliseconds = performance.now() - startedAt;
    expect(milliseconds).toBeGreaterThan(limitMilliseconds - 5);
    expect(milliseconds).toBeLessThan(limitMilliseconds + delayMilliseconds);
  });
});
