import { mkdtemp, rm } from "node:fs/promises";
import { request as send } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { clientHeaders, SimulatorPath } from "@kingcupglade/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { delay } from "./fault_injector.ts";
import { InvariantMonitor } from "./invariant_monitor.ts";
import { Operator } from "./operator.ts";
import { createRoleProcess, RolePort } from "./role_process.ts";
import type { ServerProcess } from "./server_process.ts";
import { SoakTarget } from "./soak_target.ts";

const prefix = loopbackPrefix();
const controlIndexes = [0, 1, 2] as const;
const control = controlIndexes.map((index) =>
  `${prefix}.${41 + index}:${RolePort.control}`
);
const gateway = `${prefix}.51:${RolePort.callers}`;
/** All targets are in this data centre. */
const dataCentre = "a";
const patienceMilliseconds = 1000;
const startupMilliseconds = 20_000;
/** Longer than the patience of operators and than an election. */
const frozenMilliseconds = 3500;
const settleMilliseconds = 1500;
const requestCount = 40;
const requestIntervalMilliseconds = 25;

/** Sends an order to one VM; resolves with the status, or 0 without response. */
async function sendOrder(method: string, address: string): Promise<number> {
  const url = `http://${address}${SimulatorPath.evacuation(dataCentre)}`;
  try {
    const signal = AbortSignal.timeout(patienceMilliseconds);
    const response = await fetch(url, { method, signal });
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
}

/** Sends an order to the VMs in turn until one acknowledges it. */
async function order(
  method: string,
  addresses: readonly string[],
): Promise<void> {
  const until = performance.now() + startupMilliseconds;
  for (let attempt = 0; performance.now() < until; attempt += 1) {
    const address = addresses[attempt % addresses.length]!;
    if (await sendOrder(method, address) === 200) return;
    await delay(50);
  }
  throw new Error(`${method} was not acknowledged`);
}

let nextId = 1;

function sendRequest(): Promise<number> {
  const [host, port] = gateway.split(":");
  return new Promise((resolve, reject) => {
    const request = send({
      host,
      port,
      path: "/lookup/1",
      headers: clientHeaders({
        id: `late-${nextId++}`,
        host: "jigs.example",
        deadlineMilliseconds: 900,
        position: 0,
      }),
    }, (response) => {
      response.resume();
      response.once("end", () => resolve(response.statusCode ?? 0));
    });
    request.once("error", reject);
    request.end();
  });
}

/** Sends requests that overlap, and returns how many were served. */
async function countServed(): Promise<number> {
  const statuses: Promise<number>[] = [];
  for (let count = 0; count < requestCount; count += 1) {
    statuses.push(sendRequest());
    await delay(requestIntervalMilliseconds);
  }
  const served = (await Promise.all(statuses)).filter((each) => each === 200);
  return served.length;
}

async function waitUntilServed(): Promise<void> {
  const until = performance.now() + startupMilliseconds;
  while (await sendRequest() !== 200) {
    if (performance.now() > until) throw new Error("nothing was served");
    await delay(50);
  }
}

// Guards against orders that a suspended control VM carries out when it wakes,
// after their operator has left and has ordered the opposite elsewhere.
describe("an order in the socket of a frozen control VM", () => {
  let folder: string;
  let target: SoakTarget;
  const processes: ServerProcess[] = [];

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "late-orders-"));
    const bundle = join(folder, "kingcupglade.cjs");
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: bundle,
      bundle: true,
      platform: "node",
      target: "node20",
      format: "cjs",
      logLevel: "error",
    });
    const common = { seeds: control, toleratedLosses: 1, bundle, folder };
    for (const [index, address] of [...control, gateway].entries()) {
      processes.push(
        await createRoleProcess({
          ...common,
          role: address === gateway ? "gateway" : "control",
          name: `vm-${index}`,
          ip: address.split(":")[0]!,
        }),
      );
    }
    for (const each of processes) each.start();
    await new Operator({ control }).applyInitialConfiguration(
      startupMilliseconds,
    );
    target = new SoakTarget({
      name: "catalogue-late",
      service: "catalogue",
      isKeyed: false,
      address: `${prefix}.61:8400`,
      control,
      monitor: new InvariantMonitor(),
      random: Math.random,
    });
    await target.start();
    await waitUntilServed();
  });

  afterAll(async () => {
    target.crash();
    await Promise.all(processes.map((each) => each.end("SIGKILL")));
    await rm(folder, { recursive: true });
  });

  // One of the three leads, the others relay to it.
  it.each(controlIndexes)(
    "is not carried out when VM %i wakes",
    async (index) => {
      const others = control.filter((_, at) => at !== index);
      await order("POST", others);
      processes[index]!.signal("SIGSTOP");
      const wakesAt = delay(frozenMilliseconds);
      await order("DELETE", [control[index]!, ...others]);
      await order("POST", others);
      await wakesAt;
      processes[index]!.signal("SIGCONT");
      await delay(settleMilliseconds);
      expect(await countServed()).toBe(0);
      await order("DELETE", control);
      await waitUntilServed();
    },
    30_000,
  );
});
