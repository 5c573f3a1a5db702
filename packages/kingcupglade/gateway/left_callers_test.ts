import { execFileSync } from "node:child_process";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { createMetrics } from "@kingcupglade/telemetry";
import { afterEach, describe, expect, it, vi } from "vitest";
import { Gateway } from "./gateway.ts";
import { CallerResponseSink } from "./response_sink.ts";

const request = "GET /fixtures/1 HTTP/1.1\r\nhost: a\r\n\r\n";

// The event loop of this process does not run while the caller does.
const callerScript = `
const [, port, request] = process.argv;
const socket = require("node:net").connect(Number(port), "127.0.0.1");
socket.end(request, () => socket.destroy());
`;

describe("a caller that has left", () => {
  let server: Server;

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  async function listen(handler: RequestListener): Promise<number> {
    server = createServer(handler);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return (server.address() as AddressInfo).port;
  }

  // Guards against work for callers that left before their requests were read.
  it("is not served if the end of its connection is read with its request", async () => {
    const metrics = createMetrics();
    const serve = vi.spyOn(metrics.refusals, "inc");
    const gateway = new Gateway({
      metrics,
      clock: { now: () => 0 },
      routing: { table: {}, hasLease: false, setQuiescenceSource() {} },
    } as never);
    const port = await listen((request, response) =>
      void gateway.serve(request, response)
    );
    const argv = ["--eval", callerScript, String(port), request];
    execFileSync(process.execPath, argv);
    await pause(100);
    expect(serve).not.toHaveBeenCalled();
    const { status } = await fetch(`http://127.0.0.1:${port}/fixtures/1`);
    expect([status, serve.mock.calls.length]).toEqual([503, 1]);
  });

  // Guards against exchanges of requests behind another one on their connection,
  // which are not told that it has closed.
  it("ends all requests of its connection", async () => {
    let count = 0;
    let closed = 0;
    const port = await listen((_request, response) => {
      count += 1;
      new CallerResponseSink(response).onClose(() => (closed += 1));
    });
    const caller = connect(port, "127.0.0.1");
    caller.write(request + request + request);
    await expect.poll(() => count).toBe(3);
    caller.destroy();
    await expect.poll(() => closed).toBe(3);
  });
});
