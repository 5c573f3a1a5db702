import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, readdirSync, readFileSync } from "node:fs";
import { once } from "node:events";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import {
  clientHeaders,
  encodeHeartbeat,
  readWorkerRequest,
  SimulatorPath,
  workerHeaders,
} from "@kingcupglade/platform";
import { request } from "undici";

const port = {
  control: 8300,
  callers: 8301,
  readiness: 8302,
  peers: 8390,
  targets: 8400,
} as const;
const service = "catalogue";
const targetCount = 4;
const slots = 100;
const heartbeatMilliseconds = 200;
const startMilliseconds = 15_000;
const deadlineMilliseconds = 2000;
const nanosecondsPerMicrosecond = 1000;

/** Host of all routes. */
export const host = "jigs.example";

/** Options of {@link MeasuredGateway.start}. */
export interface MeasuredGatewayOptions {
  /** Routes by name, with the sizes of their responses in bytes. */
  readonly routes: Readonly<Record<string, number>>;
  /** Keys by workspace, with the requests per second that each may send. */
  readonly workspaces: Readonly<
    Record<string, { readonly key: string; readonly perSecond: number }>
  >;
}

/**
 * A control VM and a gateway as processes of the running program, and targets in
 * this process, so that the gateway's processor time can be told from that of
 * all others. The processes get the arguments of Node.js that this one has.
 */
export class MeasuredGateway {
  readonly #options: MeasuredGatewayOptions;
  readonly #prefix = loopbackPrefix();
  readonly #processes: ChildProcess[] = [];
  readonly #servers: Server[] = [];
  #folder = "";
  #asked = 0;
  #timer: NodeJS.Timeout | undefined;

  protected constructor(options: MeasuredGatewayOptions) {
    this.#options = options;
  }

  /** Starts all processes and waits until the gateway serves requests. */
  static async start(
    options: MeasuredGatewayOptions,
  ): Promise<MeasuredGateway> {
    const gateway = new MeasuredGateway(options);
    try {
      await gateway.#start();
    } catch (failure) {
      await gateway.stop();
      throw failure;
    }
    return gateway;
  }

  /** Address for callers. */
  get address(): { readonly host: string; readonly port: number } {
    return { host: this.#ip(2), port: port.callers };
  }

  /**
   * Microseconds of processor time that all threads of the gateway have used.
   * Only Linux tells them.
   */
  readProcessorMicroseconds(): number {
    const threads = `/proc/${this.#processes.at(-1)!.pid}/task`;
    return readdirSync(threads).reduce((sum, thread) => {
      const [used] = readFileSync(`${threads}/${thread}/schedstat`, "utf8")
        .split(" ");
      return sum + Number(used) / nanosecondsPerMicrosecond;
    }, 0);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const each of this.#processes.reverse()) {
      if (each.exitCode !== null) continue;
      each.kill("SIGTERM");
      await once(each, "exit");
    }
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    await rm(this.#folder, { recursive: true });
  }

  async #start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "request-cost-"));
    const data = join(this.#folder, "data");
    await mkdir(data);
    await this.#startVm("control", {
      ip: this.#ip(1),
      lines: `dataFolder = ${data}\n[listen]\ncontrol = ${this.#control}`,
    });
    const ip = this.#ip(2);
    await this.#startVm("gateway", {
      ip,
      lines:
        `[listen]\ncallers = ${ip}:${port.callers}\nreadiness = ${ip}:${port.readiness}`,
    });
    await this.#configure();
    await this.#startTargets();
    await waitUntil(async () => {
      const statuses = await Promise.all(
        Object.values(this.#options.workspaces).flatMap(({ key }) =>
          Object.keys(this.#options.routes).map((route) =>
            this.#ask(route, key)
          )
        ),
      );
      return statuses.every((each) => each === 200 || each === 429);
    });
  }

  async #startVm(
    role: "control" | "gateway",
    { ip, lines }: { readonly ip: string; readonly lines: string },
  ): Promise<void> {
    const file = join(this.#folder, `${role}.ini`);
    await writeFile(
      file,
      `[vm]
name = ${role}-1
role = ${role}
dataCentre = a
region = north
${lines}
peers = ${ip}:${port.peers}
[control]
seeds = ${this.#control}
mayFound = true
toleratedLosses = 0
heartbeatSeconds = 0.25
${role === "gateway" ? "[link]\nmegabitsPerSecond = 1000\n" : ""}[workspaces]
revokeSeconds = 5
[stop]
graceSeconds = 3
[regions]
a = north
`,
    );
    const log = openSync(join(this.#folder, `${role}.log`), "a");
    this.#processes.push(
      spawn(
        process.execPath,
        [...process.execArgv, process.argv[1]!, "serve", "--settings", file],
        { stdio: ["ignore", log, log] },
      ),
    );
    closeSync(log);
  }

  async #configure(): Promise<void> {
    const { routes, workspaces } = this.#options;
    const upsert = {
      services: [{
        name: service,
        maxConnections: slots * targetCount,
        version: 1,
      }],
      routes: Object.keys(routes).map((name) => ({
        name,
        host,
        pathPrefix: `/${name}/`,
        routeType: "safe",
        timeoutS: 2,
        targetLatencyS: 0.5,
        priority: 1,
        service,
        maxAttempts: 2,
        version: 1,
      })),
      tenants: Object.entries(workspaces).map(([name, { key, perSecond }]) => ({
        name,
        apiKeys: [key],
        ratePerS: perSecond,
        burst: perSecond,
        version: 1,
      })),
    };
    await waitUntil(async () => {
      const { statusCode, body } = await request(
        `http://${this.#control}${SimulatorPath.configuration}`,
        { method: "PATCH", body: JSON.stringify({ upsert }) },
      );
      await body.dump();
      return statusCode === 200;
    });
  }

  async #startTargets(): Promise<void> {
    const bodies = new Map(
      Object.entries(this.#options.routes).map(([name, bytes]) =>
        [name, Buffer.alloc(bytes, "x")] as const
      ),
    );
    const targets = Array.from({ length: targetCount }, (_, at) => ({
      name: `target-${at}`,
      ip: this.#ip(10 + at),
    }));
    for (const { ip } of targets) {
      const server = createServer(({ headers, url }, response) =>
        respond(response, {
          id: readWorkerRequest(headers).id,
          body: bodies.get(url!.split("/")[1]!)!,
        })
      );
      server.keepAliveTimeout = 0;
      server.listen(port.targets, ip);
      await once(server, "listening");
      this.#servers.push(server);
    }
    let sequence = 0;
    const bornAt = Date.now();
    this.#timer = setInterval(() => {
      sequence += 1;
      for (const { name, ip } of targets) {
        request(`http://${this.#control}${SimulatorPath.worker(name)}`, {
          method: "PUT",
          body: encodeHeartbeat({
            service,
            address: `${ip}:${port.targets}`,
            dataCentre: "a",
            slots,
            isDraining: false,
            sequence,
            bornAt,
            holds: [],
          }),
        }).then(({ body }) => body.dump()).catch(() => {});
      }
    }, heartbeatMilliseconds);
  }

  async #ask(route: string, key: string): Promise<number> {
    const { host: ip, port: callers } = this.address;
    const { statusCode, body } = await request(
      `http://${ip}:${callers}/${route}/1`,
      {
        headers: {
          ...clientHeaders({
            id: `start-${this.#asked++}`,
            host,
            deadlineMilliseconds,
            position: 0,
          }),
          authorization: `Bearer ${key}`,
        },
      },
    );
    await body.dump();
    return statusCode;
  }

  get #control(): string {
    return `${this.#ip(1)}:${port.control}`;
  }

  #ip(last: number): string {
    return `${this.#prefix}.${last}`;
  }
}

function respond(
  response: ServerResponse,
  { id, body }: { readonly id: string; readonly body: Buffer },
): void {
  response.writeHead(200, {
    ...workerHeaders({ id, didNotRun: false }),
    "content-type": "application/octet-stream",
    "content-length": body.length,
  });
  response.end(body);
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  const until = performance.now() + startMilliseconds;
  while (!await condition().catch(() => false)) {
    if (performance.now() > until) throw new Error("the gateway has not begun");
    await pause(100);
  }
}
