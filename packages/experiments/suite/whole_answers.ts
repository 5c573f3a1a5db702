import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { CallerResponseSink, ExchangeClient } from "kingcupglade";
import { Agent, request } from "undici";
import type { Experiment, Figure } from "../experiment.ts";
import { MisbehavingTarget } from "../misbehaving_target.ts";
import { RandomSource } from "../random_source.ts";

const requestCount = 4000;
const callerCount = 16;
const connectionCount = 8;
const host = "127.0.0.1";
const targetPort = 8590;
const faultyShare = 0.3;
const timeoutMilliseconds = 60;
const lateMilliseconds = 80;

interface ResponseCounts {
  readonly correct: number;
  readonly misdelivered: number;
  readonly falselyComplete: number;
}

type Proxy = (request: IncomingMessage, response: ServerResponse) => void;

/** Counts wrong responses that reach callers from a misbehaving target. */
export const wholeAnswersExperiment: Experiment = {
  summary:
    "wrong responses of a misbehaving target that look complete to callers",
  async run({ seed, progress }) {
    const target = `http://${host}:${targetPort}`;
    const client = new ExchangeClient({
      connectionsPerTarget: connectionCount,
    });
    const agent = new Agent({ connections: connectionCount });
    const run = (proxy: Proxy, echoes: boolean) =>
      measure({ seed, proxy, echoes });
    try {
      const echoed = await run(exchangeProxy(client, target), true);
      progress("target that echoes measured");
      const silent = await run(exchangeProxy(client, target), false);
      progress("target that does not echo measured");
      const bare = await run(bareProxy(agent, target), false);
      return { figures: createFigures({ echoed, silent, bare }) };
    } finally {
      await Promise.all([client.close(), agent.destroy()]);
    }
  },
};

function createFigures(runs: {
  readonly echoed: ResponseCounts;
  readonly silent: ResponseCounts;
  readonly bare: ResponseCounts;
}): readonly Figure[] {
  const { echoed, silent, bare } = runs;
  const zeroTarget = { atMost: 0 };
  const unit = "answers";
  return [
    {
      name: "answers to another caller, target echoes",
      value: echoed.misdelivered,
      baseline: bare.misdelivered,
      unit,
      target: zeroTarget,
    },
    {
      name: "answers to another caller, target does not echo",
      value: silent.misdelivered,
      baseline: bare.misdelivered,
      unit,
    },
    {
      name: "broken answers taken for whole",
      value: echoed.falselyComplete + silent.falselyComplete,
      baseline: bare.falselyComplete,
      unit,
      target: zeroTarget,
    },
    {
      name: "own whole answers",
      value: echoed.correct,
      baseline: bare.correct,
      unit,
    },
  ];
}

async function measure(run: {
  readonly seed: number;
  readonly proxy: Proxy;
  readonly echoes: boolean;
}): Promise<ResponseCounts> {
  const target = new MisbehavingTarget({
    host,
    port: targetPort,
    random: new RandomSource(run.seed),
    share: faultyShare,
    echoesExchange: run.echoes,
    lateMilliseconds,
  });
  await target.start();
  const server = createServer(run.proxy);
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const agent = new Agent({ connections: callerCount });
  try {
    return await sendAll(agent, server);
  } finally {
    await agent.destroy();
    server.closeAllConnections();
    server.close();
    target.stop();
  }
}

async function sendAll(agent: Agent, server: Server): Promise<ResponseCounts> {
  const { port } = server.address() as AddressInfo;
  let [next, correct, misdelivered, falselyComplete] = [0, 0, 0, 0];
  const runCaller = async () => {
    while (next < requestCount) {
      const id = `jig-${next++}`;
      const body = await fetchBody(
        agent,
        `http://${host}:${port}/drawings/${id}`,
      );
      if (body === undefined) continue;
      if (body === `<${id}>`) correct += 1;
      else if (/^<.*>$/.test(body)) misdelivered += 1;
      else falselyComplete += 1;
    }
  };
  await Promise.all(Array.from({ length: callerCount }, runCaller));
  return { correct, misdelivered, falselyComplete };
}

/** Returns the body of a response that looks complete; otherwise undefined. */
async function fetchBody(
  agent: Agent,
  url: string,
): Promise<string | undefined> {
  try {
    const { statusCode, body } = await request(url, { dispatcher: agent });
    const text = await body.text();
    return statusCode === 200 ? text : undefined;
  } catch {
    return undefined;
  }
}

function exchangeProxy(client: ExchangeClient, target: string): Proxy {
  return async (request, response) => {
    await client.run({
      address: target,
      method: "GET",
      path: request.url ?? "/",
      headers: request.headers,
      openBody: () => null,
      added: {},
      timeoutMilliseconds,
      maySend: () => true,
    }, new CallerResponseSink(response));
    if (!response.headersSent) response.writeHead(504).end();
  };
}

/** A common proxy design: a timeout leaves the response on the connection. */
function bareProxy(agent: Agent, target: string): Proxy {
  return async (incoming, response) => {
    try {
      const { statusCode, body } = await request(`${target}${incoming.url}`, {
        dispatcher: agent,
        headersTimeout: timeoutMilliseconds,
      });
      response.writeHead(statusCode);
      body.on("error", () => response.end());
      body.pipe(response);
    } catch {
      response.writeHead(504).end();
    }
  };
}
