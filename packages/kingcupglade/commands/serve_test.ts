import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { access, chmod, mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { FakeTarget, History } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

// Concurrent runs of this test must not share addresses.
const network = `127.${randomInt(100, 250)}.${randomInt(1, 250)}`;
const address = `${network}.1`;
const secret = "a-secret-of-the-serve-test";

const commandNames = [
  "serve",
  "settings check",
  "key create",
  "bundle check",
  "bundle diff",
  "bundle sign",
  "bundle roll",
  "bundle show",
  "bundle status",
  "status",
  "experiment",
  "demo",
];

describe("the program", () => {
  let folder: string;
  let program: string;
  let publicKey: string;

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
    publicKey = key.output.trim();
    await writeFile(join(folder, "vm.ini"), createSettingsText(publicKey));
    await writeFile(
      join(folder, "bundle.json"),
      JSON.stringify(createBundleDocument(publicKey)),
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

  async function startUntilLeading(): Promise<ChildProcess> {
    const child = start("serve", "--settings", join(folder, "vm.ini"));
    await waitForLog(child, "control-leadership-acquired");
    return child;
  }

  async function waitUntilHealthy(): Promise<void> {
    const sendRequest = () =>
      fetch(`http://${address}:8400/health`).catch(() => null);
    while (!(await sendRequest())?.ok);
  }

  const vmOption = ["--vm", `${address}:8400`];

  /** Rolls the signed bundle and returns its path. */
  async function rollBundle(): Promise<string> {
    const signed = join(folder, "signed.json");
    await run(
      ...["bundle", "sign", join(folder, "bundle.json"), "--out", signed],
      ...["--key", join(folder, "key.pem"), "--operator", "mei"],
    );
    const rolled = await run("bundle", "roll", signed, "--wait", ...vmOption);
    expect(rolled).toMatchObject({ code: 0 });
    return signed;
  }

  async function startSlowTarget(): Promise<FakeTarget> {
    const target = new FakeTarget({
      name: "fixture-1",
      service: "fixture-stock",
      dataCentre: "hsinchu-a",
      address: `${network}.2:8500`,
      announceAddresses: [`${address}:8200`],
      secret,
      history: new History(),
      serviceMilliseconds: 700,
    });
    await target.start();
    return target;
  }

  const sendRequest = () =>
    fetch(`http://${address}:8100/fixtures/clamp`, {
      headers: { "x-tenant": "toolroom" },
    });

  describe("stopped while a request is in progress", () => {
    it("finishes the request, exits with 0, and knows the bundle after a restart", async () => {
      const child = await startUntilLeading();
      const signed = await rollBundle();
      const target = await startSlowTarget();
      expect((await sendRequest()).status).toBe(200);
      const inProgress = sendRequest();
      await new Promise((resolve) => setTimeout(resolve, 200));
      child.kill("SIGTERM");
      const response = await inProgress;
      expect(response.headers.get("kingcupglade-outcome")).toBe("answered");
      expect(await response.json()).toMatchObject({ target: "fixture-1" });
      expect(await once(child, "close")).toEqual([0, null]);
      target.kill();

      const restarted = await startUntilLeading();
      const rolledAgain = await run("bundle", "roll", signed, ...vmOption);
      expect(JSON.parse(rolledAgain.output)).toMatchObject({
        kind: "accepted",
      });
      const document = createBundleDocument(publicKey, { weight: 2 });
      await writeFile(join(folder, "other.json"), JSON.stringify(document));
      await run(
        ...["bundle", "sign", join(folder, "other.json"), "--out", signed],
        ...["--key", join(folder, "key.pem"), "--operator", "mei"],
      );
      const conflict = await run("bundle", "roll", signed, ...vmOption);
      expect(conflict.code).toBe(1);
      expect(JSON.parse(conflict.output)).toMatchObject({ kind: "conflict" });
      expect(conflict.error).toMatch(/version 1 .* in force; .*higher version/);
      restarted.kill("SIGTERM");
      expect(await once(restarted, "close")).toEqual([0, null]);
    });
  });

  describe("stopped by two signals", () => {
    // Guards against callers that get no answer when SIGTERM is repeated during
    // a stop (issue 44).
    it("finishes the request in progress after a second SIGTERM", async () => {
      const child = await startUntilLeading();
      await rollBundle();
      const target = await startSlowTarget();
      expect((await sendRequest()).status).toBe(200);
      const inProgress = sendRequest();
      await new Promise((resolve) => setTimeout(resolve, 200));
      const stopping = once(child, "close");
      child.kill("SIGTERM");
      await waitForLog(child, "vm-stopping");
      child.kill("SIGTERM");
      const response = await inProgress;
      expect(response.headers.get("kingcupglade-outcome")).toBe("answered");
      expect(await response.json()).toMatchObject({ target: "fixture-1" });
      expect(await stopping).toEqual([0, null]);
      target.kill();
    });

    it("exits immediately with 1 after a second SIGINT", async () => {
      const child = await startUntilLeading();
      const stopping = once(child, "close");
      child.kill("SIGINT");
      await waitForLog(child, "vm-stopping");
      child.kill("SIGINT");
      expect(await stopping).toEqual([1, null]);
    });
  });

  describe("stopped while it starts", () => {
    it("exits with 0", async () => {
      const child = start("serve", "--settings", join(folder, "vm.ini"));
      const stopped = once(child, "close");
      // The operators' listener opens first, well before the last listener.
      await waitUntilHealthy();
      child.kill("SIGTERM");
      expect(await stopped).toEqual([0, null]);
    });
  });

  describe("started with an invalid environment", () => {
    const serveWith = async (
      name: string,
      change: (text: string) => string,
    ) => {
      const path = join(folder, name);
      await writeFile(path, change(createSettingsText(`${"A".repeat(43)}=`)));
      const { code, error } = await run("serve", "--settings", path);
      expect(code).toBe(1);
      const lines = error.trim().split("\n");
      const messages = lines.filter((line) => !isLogLine(line));
      expect(messages).toEqual(lines.slice(-1));
      for (const line of lines.slice(0, -1)) {
        expect(JSON.parse(line).event).toBe("data-folder-opened");
      }
      return error;
    };

    it("reports a port in use", async () => {
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

    it("does not open the data folder if another process runs with the settings", async () => {
      const holder = createServer().listen(8400, `${network}.7`);
      await once(holder, "listening");
      const error = await serveWith(
        "twice.ini",
        (text) =>
          text.replaceAll(address, `${network}.7`)
            .replace("data/vm-1", "data/twice"),
      );
      expect(error).toMatch(/listen\.operators.*\.7:8400.*free the port/);
      await expect(access(join(folder, "data/twice"))).rejects.toThrow();
      holder.close();
    });

    it("reports a data folder of another VM", async () => {
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

    it("reports an unreadable secret and certificate", async () => {
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

  describe("run with --help", () => {
    for (const name of commandNames) {
      it(`explains ${name} with an example`, async () => {
        const { code, output, error } = await run(...name.split(" "), "--help");
        expect({ code, error }).toEqual({ code: 0, error: "" });
        expect(output).toMatch(/^Usage: kingcupglade /);
        expect(output).toMatch(
          new RegExp(`Examples?:\n  kingcupglade ${name}`),
        );
      });
    }

    it("lists every command", async () => {
      const { code, output } = await run("--help");
      expect(code).toBe(0);
      expect(output.match(/^ {2}[a-z ]+$/gm)?.map((line) => line.trim()))
        .toEqual(commandNames);
    });
  });

  describe("run with an invalid command line", () => {
    it("exits with 2 and suggests a correction", async () => {
      const unknown = await run("bundel", "check");
      expect(unknown.code).toBe(2);
      expect(unknown.error).toMatch(/"bundel check".*mean "bundle check"\?/);
      const missing = await run("bundle", "roll");
      expect(missing).toMatchObject({ code: 2 });
      expect(missing.error).toMatch(/--vm IP:PORT/);
    });

    it("exits with 1 if no VM responds", async () => {
      const { code, error } = await run("status", "--vm", `${network}.8:8400`);
      expect(code).toBe(1);
      expect(error).toMatch(/did not answer/);
    });

    it("refuses to overwrite a key", async () => {
      await chmod(join(folder, "key.pem"), 0o600);
      const { code, error } = await run(
        ...["key", "create", "--out", join(folder, "key.pem")],
      );
      expect(code).toBe(1);
      expect(error).toMatch(/key\.pem exists already; choose another name/);
    });

    it("reports a file that cannot be written", async () => {
      const { code, error } = await run(
        ...["key", "create", "--out", join(folder, "missing", "key.pem")],
      );
      expect(code).toBe(1);
      expect(error).toMatch(/missing\/key\.pem cannot be written/);
    });
  });
});

/** Whether a line is an event of the log, which shares standard error. */
function isLogLine(line: string): boolean {
  return line.startsWith("{") && "event" in JSON.parse(line);
}

async function waitForLog(child: ChildProcess, event: string): Promise<void> {
  let log = "";
  await new Promise<void>((resolve) =>
    child.stderr!.on("data", (chunk) => {
      log += chunk;
      if (log.includes(event)) resolve();
    })
  );
}

function createSettingsText(publicKey: string): string {
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

function createBundleDocument(
  publicKey: string,
  { weight } = { weight: 1 },
) {
  return {
    version: 1,
    operators: [{ name: "mei", publicKey }],
    dataCentres: [{ name: "hsinchu-a", region: "hsinchu" }],
    services: [{
      name: "fixture-stock",
      kind: "keyed",
      deadlineMilliseconds: 3000,
    }],
    tenants: [{ name: "toolroom", weight }],
    routes: [{
      pathPrefix: "/fixtures/",
      service: "fixture-stock",
      tenant: { header: "x-tenant" },
      key: { pathSegment: 1 },
    }],
  };
}
