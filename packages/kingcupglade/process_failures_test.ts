import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { build } from "esbuild";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

// Runs the code of its first argument, and goes on until it is ended.
const program = `
import { endOnProcessFailure } from "./process_failures.ts";
endOnProcessFailure({ vm: "gateway-1" });
setInterval(() => {}, 1000);
setTimeout(() => eval(process.argv[2]), 50);
`;

describe("a process with a fault that nothing handles", () => {
  let folder: string;
  let bundle: string;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "process-failures-"));
    bundle = join(folder, "program.cjs");
    await build({
      stdin: { contents: program, resolveDir: import.meta.dirname },
      outfile: bundle,
      bundle: true,
      platform: "node",
      format: "cjs",
      logLevel: "silent",
    });
  });

  afterAll(() => rm(folder, { recursive: true }));

  function start(code: string) {
    return spawn(process.execPath, [bundle, code], {
      stdio: ["ignore", "pipe", "ignore"],
    });
  }

  async function run(code: string) {
    const child = start(code);
    const exit = once(child, "exit");
    const log = await text(child.stdout);
    return { log, exit: await exit };
  }

  for (
    const [fault, code, origin] of [
      [
        "an exception of a timer",
        `throw new Error("no such route")`,
        "uncaughtException",
      ],
      [
        "a rejection without a handler",
        `Promise.reject(new Error("no such route"))`,
        "unhandledRejection",
      ],
    ] as const
  ) {
    // Guards against processes that end without a log line that tells why.
    it(`ends with 3 and a last log line after ${fault}`, async () => {
      const { log, exit } = await run(code);
      expect(exit).toEqual([3, null]);
      const lines = log.trim().split("\n");
      expect(lines).toHaveLength(1);
      expect(JSON.parse(lines[0]!)).toMatchObject({
        event: "process-failed",
        level: "error",
        vm: "gateway-1",
        origin,
        reason: "no such route",
        stack: expect.stringContaining("at "),
      });
    });
  }

  it("writes a line of bounded length", async () => {
    const { log } = await run(`throw new Error("x".repeat(1_000_000))`);
    expect(log.length).toBeLessThan(20_000);
    expect(JSON.parse(log)).toMatchObject({ event: "process-failed" });
  });

  // Guards against a process that cannot end as nobody reads its log.
  it("ends although nobody reads its log", async () => {
    const fillPipe = `
      const { writeSync } = require("node:fs");
      try {
        for (;;) writeSync(1, "x".repeat(4096));
      } catch {}
      throw new Error("no such route");
    `;
    const child = start(fillPipe);
    expect(await once(child, "exit")).toEqual([3, null]);
    child.stdout.destroy();
  }, 20_000);
});
