import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Client } from "@connectrpc/connect";
import {
  connectNodeAdapter,
  createConnectTransport,
} from "@connectrpc/connect-node";
import { Credit, ExchangeRequestSchema } from "@kingcupglade/protocol";
import { createUnaryClient, PeerPool, UnaryServices } from "kingcupglade";
import { Pool } from "undici";
import type { Experiment } from "../experiment.ts";

const secret = "the-secret-of-the-peer-calls";
const warmUpCalls = 1000;
const callCount = 8000;
const callConcurrency = 8;
const callTimeoutMilliseconds = 500;

const implementation = {
  exchange: () => ({ leaseMilliseconds: 4000, roles: [] }),
};

/** Compares unary calls between VMs with calls through Connect. */
export const peerCallsExperiment: Experiment = {
  summary: "processor time of a unary call between VMs, compared with Connect",
  async run({ progress }) {
    const unary = await measureUnary();
    progress(`unary client and services: ${unary.toFixed(0)} us`);
    const connect = await measureConnect();
    progress(`Connect: ${connect.toFixed(0)} us`);
    return {
      figures: [
        {
          name: "processor time of a lean call, both ends",
          value: unary,
          unit: "us",
          baseline: connect,
        },
        {
          name: "share of a call of Connect",
          value: unary / connect,
          unit: "",
          target: { atMost: 0.5 },
        },
      ],
    };
  },
};

async function measureUnary(): Promise<number> {
  const services = new UnaryServices({ secret });
  services.service(Credit, implementation);
  return await withServer(
    (request, response) => void services.handle(request, response),
    async (origin) => {
      const connections = new PeerPool({
        create: () => new Pool(origin, { connections: callConcurrency }),
      });
      const time = await measureCalls(
        createUnaryClient(Credit, { connections, secret }),
      );
      connections.destroy();
      return time;
    },
  );
}

async function measureConnect(): Promise<number> {
  const handler = connectNodeAdapter({
    routes: (router) => {
      router.service(Credit, implementation);
    },
  });
  return await withServer(handler, (origin) =>
    measureCalls(
      createClient(
        Credit,
        createConnectTransport({
          httpVersion: "1.1",
          baseUrl: origin,
          useBinaryFormat: true,
        }),
      ),
    ));
}

async function withServer(
  handler: RequestListener,
  measure: (origin: string) => Promise<number>,
): Promise<number> {
  const server: Server = createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  try {
    const { port } = server.address() as AddressInfo;
    return await measure(`http://127.0.0.1:${port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

/** Returns microseconds of processor time per call, for both ends together. */
async function measureCalls(client: Client<typeof Credit>): Promise<number> {
  const message = create(ExchangeRequestSchema, { vm: "vm-1", boot: "a" });
  const exchange = () =>
    client.exchange(message, { timeoutMs: callTimeoutMilliseconds });
  for (let count = 0; count < warmUpCalls; count += 1) await exchange();
  let remaining = callCount;
  const before = process.cpuUsage();
  await Promise.all(Array.from({ length: callConcurrency }, async () => {
    while (remaining-- > 0) await exchange();
  }));
  const { user, system } = process.cpuUsage(before);
  return (user + system) / callCount;
}
