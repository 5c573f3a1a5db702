import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { build } from "esbuild";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

// Concurrent runs of this test must not share addresses.
const network = `127.${randomInt(100, 250)}.${randomInt(1, 250)}`;

/** Moments in the life of a process, in the order in which they come. */
const Moment = {
  firstImport: "firstImport",
  settings: "settings",
  listen: "listen",
  serving: "serving",
  stopping: "stopping",
  exit: "exit",
} as const;
type Moment = typeof Moment[keyof typeof Moment];

type Pair = readonly [NodeJS.Signals, NodeJS.Signals];

const signals = ["SIGHUP", "SIGTERM", "SIGINT"] as const;
const pairs: readonly Pair[] = signals.flatMap((first) =>
  signals.map((second): Pair => [first, second])
);

/**
 * Loaded before the program: sends signals to its own process at a moment that
 * cannot be seen from outside.
 */
const preload = `
const { MOMENT, SIGNALS, PROGRAM } = process.env;
let isSent = false;
function reach(moment) {
  if (isSent || moment !== MOMENT) return;
  isSent = true;
  for (const signal of SIGNALS.split(",")) process.kill(process.pid, signal);
}
function before(owner, name, moment, isMatch = () => true) {
  const original = owner[name];
  owner[name] = function (...values) {
    if (isMatch(...values)) reach(moment);
    return original.apply(this, values);
  };
}
before(require("node:module"), "_load", "firstImport",
  (_, parent) => parent?.filename === PROGRAM);
before(require("node:fs/promises"), "readFile", "settings");
before(require("node:net").Server.prototype, "listen", "listen");
const exit = process.exit;
process.exit = (code) => {
  reach("exit");
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20);
  exit(code);
};
`;

const Mode = {
  control: "control",
  gateway: "gateway",
  combined: "combined",
} as const;
type Mode = typeof Mode[keyof typeof Mode];

const startedEvents: Readonly<Record<Mode, string>> = {
  control: "control-started",
  gateway: "gateway-started",
  combined: "vm-started",
};
const stoppingEvents: Readonly<Record<Mode, string>> = {
  control: "control-stopping",
  gateway: "gateway-stopping",
  combined: "vm-stopping",
};

describe("a process of the program", () => {
  let folder: string;
  let program: string;
  let vmCount = 0;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "kingcupglade-signals-"));
    program = join(folder, "kingcupglade.cjs");
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: program,
      bundle: true,
      platform: "node",
      format: "cjs",
      logLevel: "silent",
    });
    await writeFile(join(folder, "preload.cjs"), preload);
    await writeFile(join(folder, "secret"), "a-secret-of-the-signals-test");
  });

  afterAll(() => rm(folder, { recursive: true, force: true }));

  async function writeSettings(mode: Mode) {
    vmCount += 1;
    const path = join(folder, `vm-${vmCount}.ini`);
    const address = `${network}.${vmCount}`;
    await writeFile(path, createSettingsText(mode, { address, folder }));
    return path;
  }

  function start(settings: string, environment: NodeJS.ProcessEnv = {}) {
    const child = spawn(process.execPath, [
      ...["--require", join(folder, "preload.cjs")],
      ...[program, "serve", "--settings", settings],
    ], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...environment, PROGRAM: program },
    });
    let log = "";
    const waits = new Set<() => void>();
    const read = (chunk: Buffer) => {
      log += chunk;
      for (const check of waits) check();
    };
    child.stdout.on("data", read);
    child.stderr.on("data", read);
    const closed = once(child, "close") as Promise<
      [number | null, NodeJS.Signals | null]
    >;
    /** Resolves when the log has the event or the process has ended. */
    const waitFor = (event: string) =>
      Promise.race([
        closed,
        new Promise<void>((resolve) => {
          const check = () => log.includes(`"${event}"`) && resolve();
          waits.add(check);
          check();
        }),
      ]);
    return { child, closed, waitFor, log: () => log };
  }

  /** Sends two signals to a new process at a moment; returns how it ended. */
  async function runWithSignals(mode: Mode, moment: Moment, pair: Pair) {
    const { child, closed, waitFor, log } = start(await writeSettings(mode), {
      MOMENT: moment,
      SIGNALS: pair.join(","),
    });
    const send = async () => {
      child.kill(pair[0]);
      // A signal that is sent twice at once may come once.
      await waitFor(pair[0]);
      child.kill(pair[1]);
    };
    const isOwnMoment = moment === Moment.serving || moment === Moment.stopping;
    const isStopped = !isOwnMoment && moment !== Moment.exit &&
      pair.some((signal) => signal !== "SIGHUP");
    if (!isStopped) {
      await waitFor(startedEvents[mode]);
      if (moment === Moment.serving) await send();
      if (moment !== Moment.stopping && pair.every((one) => one === "SIGHUP")) {
        if (moment !== Moment.exit) {
          await waitFor(
            mode === Mode.combined
              ? "settings-not-reloaded"
              : "settings-reloaded",
          );
        }
      }
      if (moment !== Moment.serving || pair.every((one) => one === "SIGHUP")) {
        child.kill("SIGTERM");
      }
      if (moment === Moment.stopping) {
        await waitFor(stoppingEvents[mode]);
        await send();
      }
    }
    const [code, signal] = await closed;
    return { pair: pair.join(), code, signal, faults: findFaults(log()) };
  }

  /** A second SIGINT ends the process at once, unless it ends anyway. */
  function expectedEnd(moment: Moment, pair: Pair) {
    const isCutOff = pair.every((signal) => signal === "SIGINT") &&
      moment !== Moment.exit;
    return {
      pair: pair.join(),
      code: isCutOff ? 1 : 0,
      signal: null,
      faults: isCutOff ? ["stop-cut-off"] : [],
    };
  }

  async function expectOrderlyEnds(
    mode: Mode,
    moment: Moment,
    tried: readonly Pair[],
  ): Promise<void> {
    const ends = await Promise.all(
      tried.map((pair) => runWithSignals(mode, moment, pair)),
    );
    expect(ends).toEqual(tried.map((pair) => expectedEnd(moment, pair)));
  }

  // Guards against a VM that ends with 1 when the reader of its log closes
  // (issue 44).
  it("serves on if the readers of its output have closed", async () => {
    const ends = await Promise.all(
      Object.values(Mode).map(async (mode) => {
        const { child, closed, waitFor } = start(await writeSettings(mode));
        await waitFor(startedEvents[mode]);
        child.stdout.destroy();
        child.stderr.destroy();
        child.kill("SIGHUP");
        await pause(300);
        child.kill("SIGTERM");
        return await closed;
      }),
    );
    expect(ends).toEqual(Object.values(Mode).map(() => [0, null]));
  });

  // Guards against a process that ends with 1 because the one before it still
  // stops (issue 44).
  it("starts once the process before it has freed the addresses", async () => {
    const settings = await writeSettings(Mode.gateway);
    const before = start(settings);
    await before.waitFor("gateway-started");
    const abandoned = start(settings);
    await abandoned.waitFor("address-in-use");
    abandoned.child.kill("SIGTERM");
    expect(await abandoned.closed).toEqual([0, null]);
    expect(abandoned.log()).toContain('"start-abandoned"');
    before.child.kill("SIGTERM");
    const next = start(settings);
    await next.waitFor("address-in-use");
    expect(await before.closed).toEqual([0, null]);
    await next.waitFor("gateway-started");
    next.child.kill("SIGTERM");
    expect(await next.closed).toEqual([0, null]);
  });

  // Guards against processes that ended by a signal, without a log line, from
  // their first instruction to their last (issue 44).
  describe("ends only as its signals demand", () => {
    for (const moment of Object.values(Moment)) {
      it(`a control VM that gets two at the moment ${moment}`, async () => {
        // A control VM may stop before a second SIGINT cuts it off.
        const isFast = moment === Moment.serving || moment === Moment.stopping;
        const tried = isFast
          ? pairs.filter((pair) => pair.join() !== "SIGINT,SIGINT")
          : pairs;
        await expectOrderlyEnds(Mode.control, moment, tried);
      });
    }

    it("a gateway VM and a VM without a role that get two at any moment", async () => {
      const twice: readonly Pair[] = [
        ["SIGTERM", "SIGTERM"],
        ["SIGINT", "SIGINT"],
      ];
      const runs = [Mode.gateway, Mode.combined].flatMap((mode) => [
        ...Object.values(Moment).map((moment) =>
          expectOrderlyEnds(mode, moment, [["SIGHUP", "SIGTERM"]])
        ),
        expectOrderlyEnds(mode, Moment.serving, twice),
        expectOrderlyEnds(mode, Moment.stopping, twice),
      ]);
      await Promise.all(runs);
    });
  });
});

/** Returns the events of errors, and lines that are no log lines. */
function findFaults(log: string): readonly string[] {
  return log.split("\n").filter((line) => line !== "").flatMap((line) => {
    if (!line.startsWith("{")) return [line];
    const { event, level } = JSON.parse(line);
    // A VM without a role reloads no settings.
    const isFault = level === "error" && event !== "settings-not-reloaded";
    return isFault ? [event] : [];
  });
}

function createSettingsText(
  mode: Mode,
  { address, folder }: { readonly address: string; readonly folder: string },
): string {
  const vm = `[vm]
name = vm-1
dataCentre = hsinchu-a
region = hsinchu
${mode === Mode.gateway ? "" : `dataFolder = ${folder}/data-${address}`}`;
  if (mode === Mode.combined) {
    return `${vm}
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
mei = ${"A".repeat(43)}=
[security]
vmSecretFile = secret
targetSecretFile = secret
`;
  }
  const listen = mode === Mode.control
    ? `control = ${address}:8300`
    : `callers = ${address}:8301\nreadiness = ${address}:8302`;
  return `${vm}
role = ${mode}
[listen]
${listen}
peers = ${address}:8390
[control]
seeds = ${address}:8300
mayFound = true
toleratedLosses = 0
[stop]
graceSeconds = 4
[regions]
hsinchu-a = hsinchu
`;
}
