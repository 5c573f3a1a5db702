import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { LocalCapacityGate } from "@kingcupglade/routing";
import { request } from "undici";
import type { Experiment, Figure } from "../experiment.ts";
import { startSingleGateway } from "../single_gateway.ts";
import type { BasicAnnouncement } from "../single_gateway.ts";

const host = "127.0.0.1";
const port = { targets: 8200, target: 9110, plainServer: 9111 } as const;
const targetCount = 10;
const slots = 110;
const connectionCounts = [300, 900, 2700];
const requestCounts = [100, 300, 900];
const warmUpRequests = 3000;
const announceIntervalMilliseconds = 300;
const settleMilliseconds = 400;
const holdMilliseconds = 1500;
const pollMilliseconds = 10;
const bytesPerKilobyte = 1000;
const requestHead = [
  "POST /orders/1 HTTP/1.1",
  "host: vm",
  "x-tenant: kennels",
  "content-length: 0",
  "\r\n",
].join("\r\n");

interface Address {
  readonly host: string;
  readonly port: number;
}

interface Sample {
  readonly count: number;
  readonly bytes: number;
}

/**
 * Measures the memory that a gateway uses per caller connection and per request
 * in progress. Callers and targets are plain sockets in the same process; the
 * baseline is the memory of such a pair without a gateway.
 */
export const gatewayMemoryExperiment: Experiment = {
  summary: "memory per caller connection and per request in progress",
  async run({ progress }) {
    const targets = await HoldingTargets.listen();
    const plainServer = createServer((socket) => socket.resume());
    plainServer.listen(port.plainServer, host);
    const gateway = await startSingleGateway({
      announcements: Array.from(
        { length: targetCount },
        (_, index) => createAnnouncement(index),
      ),
      announceIntervalMilliseconds: announceIntervalMilliseconds,
      // Credits follow demand over seconds; here all slots are needed at once.
      policy: { capacity: new LocalCapacityGate() },
    });
    try {
      await warmUp(gateway);
      progress("warmed up");
      const measured: Figure[] = [];
      for (const count of connectionCounts) {
        measured.push(connectionFigure({
          gateway: await sampleConnections(gateway, count),
          plain: await sampleConnections(
            { host, port: port.plainServer },
            count,
          ),
        }));
      }
      progress("connections measured");
      for (const count of requestCounts) {
        measured.push(
          requestFigure(await sampleRequests(gateway, { targets, count })),
        );
      }
      return { figures: measured };
    } finally {
      await gateway.stop();
      plainServer.close();
      targets.close();
    }
  },
};

function connectionFigure(
  samples: { readonly gateway: Sample; readonly plain: Sample },
): Figure {
  const { gateway, plain } = samples;
  return {
    name: `memory of each of ${gateway.count} idle connections`,
    value: gateway.bytes / gateway.count / bytesPerKilobyte,
    unit: "kB",
    baseline: plain.bytes / plain.count / bytesPerKilobyte,
  };
}

function requestFigure({ count, bytes }: Sample): Figure {
  return {
    name: `memory of each of ${count} requests in progress`,
    value: bytes / count / bytesPerKilobyte,
    unit: "kB",
  };
}

async function sampleConnections(
  address: Address,
  count: number,
): Promise<Sample> {
  const before = await usedBytes();
  const sockets = await openSockets(address, count);
  const bytes = await usedBytes() - before;
  await closeSockets(sockets);
  return { count, bytes };
}

/** Opens the caller connections first, so that they are not counted. */
async function sampleRequests(
  gateway: Address,
  options: { readonly targets: HoldingTargets; readonly count: number },
): Promise<Sample> {
  const { targets, count } = options;
  const sockets = await openSockets(gateway, count);
  const before = await usedBytes();
  targets.hold();
  for (const socket of sockets) socket.write(requestHead);
  const until = performance.now() + holdMilliseconds;
  while (targets.held < count && performance.now() < until) {
    await pause(pollMilliseconds);
  }
  const bytes = await usedBytes({ settlesFirst: false }) - before;
  const held = targets.held;
  targets.release();
  await pause(settleMilliseconds);
  await closeSockets(sockets);
  return { count: held, bytes };
}

async function openSockets(
  address: Address,
  count: number,
): Promise<readonly Socket[]> {
  return await Promise.all(Array.from({ length: count }, async () => {
    const socket = connect(address);
    socket.resume();
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
  }));
}

async function closeSockets(sockets: readonly Socket[]): Promise<void> {
  for (const socket of sockets) socket.destroy();
  await pause(settleMilliseconds);
}

async function warmUp(gateway: Address): Promise<void> {
  for (let sent = 0; sent < warmUpRequests; sent += 1) {
    const { statusCode, body } = await request(
      `http://${gateway.host}:${gateway.port}/orders/1`,
      { method: "POST", headers: { "x-tenant": "kennels" } },
    );
    await body.dump();
    if (statusCode !== 200) throw new Error(`warm-up: status ${statusCode}`);
  }
}

function createAnnouncement(index: number): BasicAnnouncement {
  return {
    target: `order-${index}`,
    boot: "boot-1",
    service: "order-desk",
    dataCentre: "recife-a",
    address: `http://127.0.1.${index + 1}:${port.target}`,
    slots,
    connections: slots,
    coldSlots: slots,
    condition: "serving",
  };
}

/** Targets on plain sockets that respond at once, or on release when held. */
class HoldingTargets {
  readonly #server = createServer((socket) => this.#serve(socket));
  readonly #sockets = new Set<Socket>();
  #heldResponses: (() => void)[] = [];
  #isHolding = false;

  static async listen(): Promise<HoldingTargets> {
    const targets = new HoldingTargets();
    targets.#server.listen(port.target, "0.0.0.0");
    await once(targets.#server, "listening");
    return targets;
  }

  /** Number of requests whose responses are held back. */
  get held(): number {
    return this.#heldResponses.length;
  }

  hold(): void {
    this.#isHolding = true;
  }

  release(): void {
    this.#isHolding = false;
    for (const respond of this.#heldResponses) respond();
    this.#heldResponses = [];
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (data) => {
      const exchange = /kingcupglade-exchange: (\S+)/.exec(data.toString())![1];
      const respond = () =>
        socket.write(
          `HTTP/1.1 200 OK\r\nkingcupglade-exchange: ${exchange}\r\ncontent-length: 0\r\n\r\n`,
        );
      if (this.#isHolding) this.#heldResponses.push(respond);
      else respond();
    });
  }
}

async function usedBytes(
  options: { readonly settlesFirst?: boolean } = {},
): Promise<number> {
  if (options.settlesFirst ?? true) await pause(settleMilliseconds);
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
