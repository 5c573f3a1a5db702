import { Agent } from "node:http";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { sendAttempt } from "./attempt_sender.ts";
import { delay } from "./fault_injector.ts";
import { InvariantMonitor } from "./invariant_monitor.ts";
import { Operator } from "./operator.ts";
import { killTogether } from "./process_faults.ts";
import { createRoleProcess, RolePort } from "./role_process.ts";
import type { ServerProcess } from "./server_process.ts";
import { SoakTarget } from "./soak_target.ts";

const prefix = loopbackPrefix();
const control = [61, 62, 63].map((host) =>
  `${prefix}.${host}:${RolePort.control}`
);
const gateway = `${prefix}.71:${RolePort.callers}`;
const startupMilliseconds = 20_000;
/** Longer than an election and the first whole table of the next leader. */
const electionMilliseconds = 4000;
/** Time for some heartbeats and updates of the table. */
const heartbeatsMilliseconds = 1000;
const requestCount = 40;
/** So short that one target is too busy for all requests. */
const requestIntervalMilliseconds = 3;

describe("a target that control does not hear while its leader changes", () => {
  const monitor = new InvariantMonitor();
  const agent = new Agent({ keepAlive: true });
  const processes: ServerProcess[] = [];
  const targets = [0, 1].map((index) =>
    new SoakTarget({
      name: `catalogue-${index}`,
      service: "catalogue",
      isKeyed: false,
      address: `${prefix}.${81 + index}:8400`,
      control,
      monitor,
      random: () => 0.5,
    })
  );
  let folder: string;
  let nextId = 1;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "leaving-target-"));
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
    const addresses = [...control, gateway];
    for (const [index, address] of addresses.entries()) {
      processes.push(
        await createRoleProcess({
          role: address === gateway ? "gateway" : "control",
          name: `vm-${index}`,
          ip: address.split(":")[0]!,
          seeds: control,
          toleratedLosses: 1,
          bundle,
          folder,
        }),
      );
    }
    for (const each of processes) each.start();
    await new Operator({ control }).applyInitialConfiguration(
      startupMilliseconds,
    );
    for (const target of targets) await target.start();
    const until = performance.now() + startupMilliseconds;
    while (await sendRequests() < requestCount) {
      if (performance.now() > until) throw new Error("nothing was served");
    }
  });

  afterAll(async () => {
    for (const target of targets) target.end();
    await Promise.all(processes.map((each) => each.end("SIGKILL")));
    agent.destroy();
    await rm(folder, { recursive: true });
  });

  /** Sends requests that overlap; resolves with how many were served. */
  async function sendRequests(): Promise<number> {
    const statuses: Promise<number>[] = [];
    for (let count = 0; count < requestCount; count += 1) {
      statuses.push(sendRequest());
      await delay(requestIntervalMilliseconds);
    }
    const served = (await Promise.all(statuses)).filter((each) => each === 200);
    return served.length;
  }

  async function sendRequest(): Promise<number> {
    const id = `leaving-${nextId++}`;
    monitor.recordRequest(id, true, gateway);
    const { status } = await sendAttempt({
      id,
      gateway,
      kind: { path: "/lookup/1", method: "GET", isIdempotent: true },
      position: 0,
      agent,
    });
    return status;
  }

  // Failure: nothing was served until the targets were heard again.
  it("receives requests if no target is heard", async () => {
    for (const target of targets) target.isIsolated = true;
    await killTogether(processes.slice(0, control.length));
    await delay(electionMilliseconds);
    expect(await sendRequests()).toBe(requestCount);
    for (const target of targets) target.isIsolated = false;
    await delay(heartbeatsMilliseconds);
  });

  // Failure: requests reached it once the next leader listed it again.
  it("receives no more requests if it leaves, once it is heard again", async () => {
    const [leaving] = targets;
    leaving!.isIsolated = true;
    const restarted = killTogether(processes.slice(0, control.length));
    const recorded = vi.spyOn(monitor, "recordLeaving");
    leaving!.isLeaving = true;
    await sendRequests();
    expect(recorded).toHaveBeenCalled();
    await restarted;
    await delay(electionMilliseconds);
    leaving!.isIsolated = false;
    await delay(heartbeatsMilliseconds);
    expect(await sendRequests()).toBe(requestCount);
    expect(monitor.violations).toEqual([]);
  });
});
