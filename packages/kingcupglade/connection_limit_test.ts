import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { build } from "esbuild";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  descriptorLimitOf,
  readCallerConnectionLimit,
} from "./connection_limit.ts";

const address = `${loopbackPrefix()}.1`;
const descriptors = 200;

describe("a gateway with few file descriptors", () => {
  let folder: string;
  let gateway: ChildProcess;
  let sockets: Socket[];

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "connection-limit-"));
    sockets = [];
    const bundle = join(folder, "kingcupglade.cjs");
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: bundle,
      bundle: true,
      platform: "node",
      format: "cjs",
      logLevel: "silent",
    });
    const settings = join(folder, "gateway.ini");
    await writeFile(settings, settingsText);
    const command = `ulimit -n ${descriptors}; exec "$@"`;
    const serve = [process.execPath, bundle, "serve", "--settings", settings];
    gateway = spawn("sh", ["-c", command, "sh", ...serve], {
      stdio: "ignore",
    });
    await expect.poll(checkReadiness, { timeout: 20_000 }).toBe(503);
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    const exit = once(gateway, "exit");
    gateway.kill("SIGKILL");
    await exit;
    await rm(folder, { recursive: true });
  });

  async function checkReadiness(): Promise<number | string> {
    try {
      return (await fetch(`http://${address}:8302/`)).status;
    } catch (failure) {
      return String(failure);
    }
  }

  // Guards against callers that leave no descriptor for readiness checks,
  // targets and other VMs.
  it(
    "is checked for readiness while callers open more connections than it has",
    async () => {
      let closed = 0;
      for (let count = 0; count < descriptors + 50; count += 1) {
        const socket = connect(8301, address);
        socket.on("error", () => {});
        socket.on("close", () => (closed += 1));
        sockets.push(socket);
      }
      await expect.poll(() => closed, { timeout: 20_000 })
        .toBe(descriptors + 50 - descriptors * 0.75);
      expect(await checkReadiness()).toBe(503);
    },
    60_000,
  );
});

describe("the limit of file descriptors", () => {
  it("is the soft one", () => {
    const text = `Limit                Soft Limit   Hard Limit   Units
Max file locks       10           unlimited    locks
Max open files       4100         1048576      files
`;
    expect(descriptorLimitOf(text)).toBe(4100);
  });

  it("is unknown without a number", () => {
    expect(descriptorLimitOf("Max open files   unlimited   unlimited   files"))
      .toBe(Infinity);
    expect(descriptorLimitOf("")).toBe(Infinity);
  });
});

const settingsText = `[vm]
name = gateway-1
role = gateway
dataCentre = a
region = north
[listen]
callers = ${address}:8301
readiness = ${address}:8302
peers = ${address}:8390
[control]
seeds = ${address}:8300
[regions]
a = north
`;

describe("the limit of callers' connections", () => {
  // Guards against callers that are turned away although descriptors are free.
  it("is three quarters of the descriptors that the settings give", async () => {
    expect(await readCallerConnectionLimit(2212)).toBe(1659);
    expect(await readCallerConnectionLimit(4100)).toBe(3072);
  });
});
