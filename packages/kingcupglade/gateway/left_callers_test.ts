import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { CallerResponseSink } from "./response_sink.ts";

const request = "GET /fixtures/1 HTTP/1.1\r\nhost: a\r\n\r\n";

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
