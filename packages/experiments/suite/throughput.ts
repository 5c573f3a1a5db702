import { createServer } from "node:http";
import type { Server } from "node:http";
import { Agent, request } from "undici";
import { BareProxy } from "../bare_proxy.ts";
import { Deployment } from "../deployment.ts";
import type { Experiment } from "../experiment.ts";
import { runLoad } from "../load.ts";
import type { LoadResult } from "../load.ts";
import { tavares } from "../tavares.ts";

const connections = 64;
const seconds = 4;
const rounds = 3;
const microsecondsPerMillisecond = 1000;
const answer = Buffer.from(JSON.stringify({ whole: true }));
const announceMilliseconds = 300;
const microsecondsPerSecond = 1_000_000;
const port = { targets: 8200, target: 9100, proxy: 9101 } as const;
const host = "127.0.0.1";
const announcement = {
  target: "order-1",
  boot: "boot-1",
  service: "order-desk",
  dataCentre: "recife-a",
  address: `http://${host}:${port.target}`,
  slots: connections,
  connections: 110,
  coldSlots: connections,
  condition: "serving",
} as const;

/** Compares a gateway with the least proxy that its libraries allow. */
export const throughputExperiment: Experiment = {
  summary: "one gateway against a bare http and undici proxy",
  async run({ seed, progress }) {
    const target = await listenAsTarget();
    const proxy = new BareProxy({
      target: `http://${host}:${port.target}`,
      connections,
    });
    await proxy.listen(host, port.proxy);
    const { deployment, stop } = await startGateway();
    const direct = `http://${host}:${port.target}/orders/1`;
    const bare = `http://${host}:${port.proxy}/orders/1`;
    const own = `http://${deployment.callersAddress("vm-1")}/orders/1`;
    try {
      await Promise.all([saturate(bare, 1), saturate(own, 2)]);
      const directRate = await saturate(direct, seconds);
      const rates = { bare: [] as number[], own: [] as number[] };
      for (let round = 0; round < rounds; round += 1) {
        rates.bare.push(await saturate(bare, seconds));
        rates.own.push(await saturate(own, seconds));
        progress(`round ${round + 1} of ${rounds}`);
      }
      const half = median(rates.own) / 2;
      const heapBefore = heapMegabytes();
      const bareHalf = await paced(bare, { perSecond: half, seed });
      const ownHalf = await paced(own, { perSecond: half, seed });
      const heapAfter = heapMegabytes();
      return {
        figures: [
          {
            name: "throughput over the bare proxy",
            value: median(rates.own) / median(rates.bare),
            unit: "",
            target: { atLeast: 0.7 },
          },
          {
            name: "throughput",
            value: median(rates.own),
            unit: "requests/s",
            baseline: median(rates.bare),
          },
          {
            name: "time of the gateway for each request",
            value: microsecondsBetween(directRate, median(rates.own)),
            unit: "us",
            baseline: microsecondsBetween(directRate, median(rates.bare)),
          },
          {
            name: "throughput straight at the target",
            value: directRate,
            unit: "requests/s",
          },
          {
            name: "added p50 at half load",
            value: percentile(ownHalf, 50) - percentile(bareHalf, 50),
            unit: "ms",
            target: { atMost: 0.3 },
          },
          {
            name: "added p99 at half load",
            value: percentile(ownHalf, 99) - percentile(bareHalf, 99),
            unit: "ms",
            target: { atMost: 2 },
          },
          {
            name: "heap growth",
            value: heapAfter - heapBefore,
            unit: "MB",
          },
        ],
      };
    } finally {
      await stop();
      await proxy.close();
      target.close();
      target.closeAllConnections();
    }
  },
};

async function startGateway(): Promise<
  { readonly deployment: Deployment; readonly stop: () => Promise<void> }
> {
  const deployment = await Deployment.start({
    ...tavares,
    vms: { "vm-1": "recife-a" },
    voters: ["vm-1"],
    withDisk: ["vm-1"],
  });
  await deployment.roll();
  const vmHost = deployment.callersAddress("vm-1").split(":")[0]!;
  const announce = () =>
    request(`http://${vmHost}:${port.targets}/announce`, {
      method: "POST",
      headers: { authorization: `Bearer ${deployment.secret}` },
      body: JSON.stringify(announcement),
    }).then(({ body }) => body.dump(), () => {});
  await announce();
  const timer = setInterval(() => void announce(), announceMilliseconds);
  await deployment.untilReady("vm-1");
  const stop = () => {
    clearInterval(timer);
    return deployment.stop();
  };
  return { deployment, stop };
}

function listenAsTarget(): Promise<Server> {
  const server = createServer((incoming, response) => {
    incoming.resume();
    const exchange = incoming.headers["kingcupglade-exchange"];
    if (exchange) response.setHeader("kingcupglade-exchange", exchange);
    response.writeHead(200, { "content-length": answer.length });
    response.end(answer);
  });
  return new Promise((resolve) =>
    server.listen(
      { host, port: port.target, backlog: 1024 },
      () => resolve(server),
    )
  );
}

/** Requests answered each second while every connection is kept busy. */
async function saturate(url: string, duration: number): Promise<number> {
  const agent = new Agent({ connections });
  const until = performance.now() + duration * 1000;
  let answered = 0;
  await Promise.all(Array.from({ length: connections }, async () => {
    while (performance.now() < until) {
      if (await send(url, agent) === "answered") answered += 1;
    }
  }));
  await agent.destroy();
  return answered / duration;
}

async function paced(
  url: string,
  options: { readonly perSecond: number; readonly seed: number },
): Promise<LoadResult> {
  const agent = new Agent({ connections });
  const result = await runLoad({
    ...options,
    seconds,
    send: () => send(url, agent),
  });
  await agent.destroy();
  return result;
}

async function send(url: string, agent: Agent): Promise<string> {
  const { statusCode, body } = await request(url, {
    dispatcher: agent,
    headers: { "x-tenant": "kennels", "x-request": "1" },
  });
  await body.dump();
  return statusCode === 200 ? "answered" : String(statusCode);
}

function percentile(result: LoadResult, percent: number): number {
  const histogram = result.latency.get("answered");
  return (histogram?.getValueAtPercentile(percent) ?? Infinity) /
    microsecondsPerMillisecond;
}

/** Time that a proxy adds to a request in one process that is kept busy. */
function microsecondsBetween(directRate: number, rate: number): number {
  return microsecondsPerSecond * (1 / rate - 1 / directRate);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function heapMegabytes(): number {
  return process.memoryUsage().heapUsed / (1 << 20);
}
