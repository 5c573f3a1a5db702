import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { chmod, mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { FakeTarget, History } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

// Runs of the same test beside each other must not share addresses.
const network = `127.${randomInt(100, 250)}.${randomInt(1, 250)}`;
const address = `${network}.1`;
const secret = "a-secret-of-the-serve-test";

describe("the program", () => {
  let folder: string;
  let program: string;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "kingcupglade-serve-"));
    program = join(folder, "kingcupglade.cjs");
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: program,
      bundle: true,
      platform: "node",
      format: "cjs",
      logLevel: "silent",
    });
    await writeFile(join(folder, "secret"), secret);
    const key = await run("key", "create", "--out", join(folder, "key.pem"));
    await writeFile(join(folder, "vm.ini"), settingsText(key.output.trim()));
    await writeFile(
      join(folder, "bundle.json"),
      JSON.stringify(bundleDocument(key.output.trim())),
    );
  });

  afterAll(() => rm(folder, { recursive: true, force: true }));

  const start = (...words: readonly string[]): ChildProcess =>
    spawn(process.execPath, [program, ...words], {
      stdio: ["ignore", "pipe", "pipe"],
    });

  async function run(...words: readonly string[]) {
    const child = start(...words);
    let output = "";
    let error = "";
    child.stdout!.on("data", (chunk) => (output += chunk));
    child.stderr!.on("data", (chunk) => (error += chunk));
    const [code] = await once(child, "close");
    return { code, output, error };
  }

  async function startServing(): Promise<ChildProcess> {
    const child = start("serve", "--settings", join(folder, "vm.ini"));
    let log = "";
    await new Promise<void>((resolve) =>
      child.stderr!.on("data", (chunk) => {
        log += chunk;
        if (log.includes("control-lead-taken")) resolve();
      })
    );
    return child;
  }

  const vm = ["--vm", `${address}:8400`];

  describe("told to stop while a request is in progress", () => {
    it("finishes the request and exits with 0, then knows the bundle", async () => {
      const child = await startServing();
      const signed = join(folder, "signed.json");
      await run(
        ...["bundle", "sign", join(folder, "bundle.json"), "--out", signed],
        ...["--key", join(folder, "key.pem"), "--operator", "mei"],
      );
      const rolled = await run("bundle", "roll", signed, "--wait", ...vm);
      expect(rolled).toMatchObject({ code: 0 });
      const target = new FakeTarget({
        name: "fixture-1",
        service: "fixture-stock",
        dataCentre: "hsinchu-a",
        address: `${network}.2:8500`,
        announceTo: [`${address}:8200`],
        secret,
        history: new History(),
        serviceMilliseconds: 700,
      });
      await target.start();
      const ask = () =>
        fetch(`http://${address}:8100/fixtures/clamp`, {
          headers: { "x-tenant": "toolroom" },
        });
      expect((await ask()).status).toBe(200);
      const inProgress = ask();
      await new Promise((resolve) => setTimeout(resolve, 200));
      child.kill("SIGTERM");
      const answer = await inProgress;
      expect(answer.headers.get("kingcupglade-outcome")).toBe("answered");
      expect(await answer.json()).toMatchObject({ target: "fixture-1" });
      expect(await once(child, "close")).toEqual([0, null]);
      target.kill();

      const again = await startServing();
      const status = await run("bundle", "roll", signed, ...vm);
      expect(JSON.parse(status.output)).toMatchObject({ kind: "accepted" });
      again.kill("SIGTERM");
      expect(await once(again, "close")).toEqual([0, null]);
    });
  });

  describe("started with something wrong", () => {
    const serveWith = async (
      name: string,
      change: (text: string) => string,
    ) => {
      const path = join(folder, name);
      await writeFile(path, change(settingsText(`${"A".repeat(43)}=`)));
      const { code, error } = await run("serve", "--settings", path);
      expect(code).toBe(1);
      expect(error.trim().split("\n")).toHaveLength(1);
      return error;
    };

    it("names a port in use", async () => {
      const holder = createServer().listen(8100, `${network}.9`);
      await once(holder, "listening");
      const error = await serveWith(
        "port.ini",
        (text) =>
          text.replace(`callers = ${address}`, `callers = ${network}.9`)
            .replace("data/vm-1", "data/port"),
      );
      expect(error).toMatch(
        /listen\.callers.*\.9:8100.*free the port/,
      );
      holder.close();
    });

    it("names a data folder of another VM", async () => {
      await mkdir(join(folder, "other"));
      await writeFile(
        join(folder, "other", "identity.json"),
        JSON.stringify({ format: 1, vm: "vm-2", incarnation: "abc" }),
      );
      const error = await serveWith(
        "folder.ini",
        (text) => text.replace("data/vm-1", "other"),
      );
      expect(error).toMatch(/belongs to VM "vm-2"/);
    });

    it("names an unreadable secret and certificate", async () => {
      const missing = await serveWith(
        "secret.ini",
        (text) =>
          text.replace("vmSecretFile = secret", "vmSecretFile = missing"),
      );
      expect(missing).toMatch(/security\.vmSecretFile.*missing/);
      const tls = await serveWith(
        "tls.ini",
        (text) => `${text}\n[tls]\nlisteners = callers\n`,
      );
      expect(tls).toMatch(/tls\.certificateFile is missing/);
    });
  });

  describe("given a wrong command line", () => {
    it("exits with 2 and names the cure", async () => {
      const unknown = await run("bundel", "check");
      expect(unknown.code).toBe(2);
      const missing = await run("bundle", "roll");
      expect(missing).toMatchObject({ code: 2 });
      expect(missing.error).toMatch(/--vm IP:PORT/);
    });

    it("exits with 1 when no VM answers", async () => {
      const { code, error } = await run("status", "--vm", `${network}.8:8400`);
      expect(code).toBe(1);
      expect(error).toMatch(/did not answer/);
    });

    it("refuses to overwrite a key", async () => {
      await chmod(join(folder, "key.pem"), 0o600);
      const { code } = await run(
        ...["key", "create", "--out", join(folder, "key.pem")],
      );
      expect(code).toBe(1);
    });
  });
});

function settingsText(publicKey: string): string {
  return `[vm]
name = vm-1
dataCentre = hsinchu-a
region = hsinchu
dataFolder = data/vm-1
[listen]
callers = ${address}:8100
targets = ${address}:8200
peers = ${address}:8300
operators = ${address}:8400
[control]
voters = vm-1
[peers]
vm-1 = ${address}:8300
[operators]
mei = ${publicKey}
[security]
vmSecretFile = secret
targetSecretFile = secret
`;
}

function bundleDocument(publicKey: string) {
  return {
    version: 1,
    operators: [{ name: "mei", publicKey }],
    dataCentres: [{ name: "hsinchu-a", region: "hsinchu" }],
    services: [{
      name: "fixture-stock",
      kind: "keyed",
      deadlineMilliseconds: 3000,
    }],
    tenants: [{ name: "toolroom" }],
    routes: [{
      pathPrefix: "/fixtures/",
      service: "fixture-stock",
      tenant: { header: "x-tenant" },
      key: { pathSegment: 1 },
    }],
  };
}
