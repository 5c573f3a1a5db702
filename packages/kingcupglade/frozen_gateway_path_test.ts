import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { build } from "esbuild";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createSettingsText, sendHttp, waitUntil } from "./fleet_fixture.ts";
import type { HttpResult } from "./fleet_fixture.ts";
import {
  controlAddress,
  createTenant,
  gatewayIp,
  keys,
  revokeSeconds,
  WorkspaceFleet,
} from "./workspace_fixture.ts";

/** The gateway in a process of its own, beside those of the fleet. */
const ip = gatewayIp(9);

describe("a gateway that is frozen while a key is revoked", () => {
  let fleet: WorkspaceFleet;
  let folder: string;
  let gateway: ChildProcess;

  beforeAll(async () => {
    fleet = new WorkspaceFleet();
    await fleet.start();
    await fleet.addTenant(createTenant("acme", [keys.acme, keys.other], 1));
    folder = await mkdtemp(join(tmpdir(), "frozen-"));
    const program = join(folder, "program.cjs");
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      bundle: true,
      platform: "node",
      format: "cjs",
      outfile: program,
      logLevel: "error",
    });
    const file = join(folder, "gateway.ini");
    await writeFile(
      file,
      createSettingsText({
        role: "gateway",
        name: "frozen",
        ip,
        seed: controlAddress,
        lines: `[listen]\ncallers = ${ip}:7301\nreadiness = ${ip}:7302`,
        sections: `[workspaces]\nrevokeSeconds = ${revokeSeconds}`,
      }),
    );
    gateway = spawn(process.execPath, [program, "serve", "--settings", file], {
      stdio: "ignore",
    });
    await waitUntil(async () => (await send(keys.other)).status === 200);
  });

  afterAll(async () => {
    gateway.kill("SIGCONT");
    gateway.kill("SIGKILL");
    if (gateway.exitCode === null) await once(gateway, "close");
    await fleet.stop();
    await rm(folder, { recursive: true });
  });

  let nextId = 0;

  async function send(key: string) {
    const id = `frozen-${nextId++}`;
    const result = await sendHttp({
      address: `${ip}:7301`,
      method: "GET",
      path: "/lookup/1",
      headers: {
        host: "jigs.example",
        "x-request-id": id,
        "x-deadline-ms": "20000",
        authorization: `Bearer ${key}`,
      },
    }).catch((): HttpResult => ({ status: 0, headers: {}, body: "" }));
    return { ...result, id };
  }

  // Guards against a gateway that relies on its table when it wakes up, before it
  // reads that the key was revoked.
  it("sends none of the requests that came after the bound", async () => {
    gateway.kill("SIGSTOP");
    const { status } = await fleet.change({
      upsert: { tenants: [createTenant("acme", [keys.acme], 2)] },
    });
    expect(status).toBe(200);
    await pause(revokeSeconds * 1000 + 200);
    const responses = Array.from({ length: 30 }, () => send(keys.other));
    await pause(200);
    gateway.kill("SIGCONT");
    const received = await Promise.all(responses);
    const ids = new Set(received.map(({ id }) => id));
    expect(fleet.arrivals.filter(({ id }) => ids.has(id))).toEqual([]);
    for (const each of received) expect([401, 503]).toContain(each.status);
    await waitUntil(async () => (await send(keys.acme)).status === 200);
    expect((await send(keys.other)).status).toBe(401);
  });
});
