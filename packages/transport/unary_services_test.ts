import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { Fleet, Replication } from "@kingcupglade/protocol";
import { Pool, request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { HttpListener } from "./http_listener.ts";
import { PeerPool } from "./peer_pool.ts";
import { createUnaryClient, PeerCallError } from "./unary_client.ts";
import { UnaryServices } from "./unary_services.ts";

const secret = "a-secret-of-the-unary-services-test";

describe("UnaryServices", () => {
  let server: Server;
  let connections: PeerPool;
  let origin: string;
  /** Signals of the calls that were received. */
  const signals: AbortSignal[] = [];

  beforeAll(async () => {
    const services = new UnaryServices({ secret });
    services.service(Replication, {
      hello: () => ({ replica: "vm-1.a", member: true, founders: ["vm-1.a"] }),
      deliver: () => new Promise(() => {}),
      found: () => {
        throw new Error("the folder is in use");
      },
    });
    services.service(Fleet, {
      suspect: (_, { signal }) => {
        signals.push(signal);
        return {};
      },
      quota: (_, { signal }) => {
        signals.push(signal);
        return new Promise(() => {});
      },
    });
    server = createServer((incoming, response) => {
      if (!services.handle(incoming, response)) response.writeHead(404).end();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    connections = new PeerPool({
      create: () => new Pool(origin, { connections: 1 }),
    });
  });

  afterAll(() => {
    connections.destroy();
    server.closeAllConnections();
    server.close();
  });

  it("responds alike to the unary client and to Connect's own client", async () => {
    const unaryClient = createUnaryClient(Replication, { connections, secret });
    const connectClient = createClient(
      Replication,
      createConnectTransport({
        httpVersion: "1.1",
        baseUrl: origin,
        useBinaryFormat: true,
        interceptors: [(next) => (sent) => {
          sent.header.set("authorization", `Bearer ${secret}`);
          return next(sent);
        }],
      }),
    );
    expect(await unaryClient.hello({})).toEqual(await connectClient.hello({}));
    expect((await unaryClient.hello({})).founders).toEqual(["vm-1.a"]);
  });

  it("reports failures, timeouts and a wrong secret", async () => {
    const unaryClient = createUnaryClient(Replication, { connections, secret });
    await expect(unaryClient.found({})).rejects.toThrow("the folder is in use");
    const timedOut = unaryClient.deliver({}, { timeoutMs: 50 });
    await expect(timedOut).rejects.toThrow(PeerCallError);
    const unauthorized = createUnaryClient(Replication, {
      connections,
      secret: "other",
    });
    await expect(unauthorized.hello({})).rejects.toThrow("401");
    expect((await unaryClient.hello({})).member).toBe(true);
  });

  // Guards against work for callers that have given up their calls.
  it("tells a method when its caller closes the connection", async () => {
    const client = createUnaryClient(Fleet, { connections, secret });
    await client.suspect({});
    const givenUp = client.quota({}, { timeoutMs: 200 });
    await expect(givenUp).rejects.toThrow(PeerCallError);
    await expect.poll(() => signals.map(({ aborted }) => aborted))
      .toEqual([false, true]);
  });

  it("refuses a body that cannot be decoded", async () => {
    const response = await request(
      `${origin}/kingcupglade.v1.Replication/Found`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${secret}` },
        body: Buffer.from([0xff, 0xff, 0xff]),
      },
    );
    expect(response.statusCode).toBe(400);
    expect(await response.body.json()).toMatchObject({
      code: "invalid_argument",
    });
  });

  // Guards against calls that VMs send while a draining one closes the connection.
  it("tells callers to leave a listener that drains", async () => {
    const services = new UnaryServices({ secret });
    services.service(Replication, { hello: () => ({ member: true }) });
    const address = `${loopbackPrefix()}.1:7393`;
    const listener = await HttpListener.open({
      name: "peers",
      address,
      handler: (incoming, response) => void services.handle(incoming, response),
    });
    const drained = listener.drain({
      minimumMilliseconds: 200,
      quietMilliseconds: 0,
      maximumMilliseconds: 1000,
    });
    const { headers } = await request(
      `http://${address}/${Replication.typeName}/Hello`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${secret}` },
      },
    );
    await drained;
    expect(headers.connection).toBe("close");
  });
});
