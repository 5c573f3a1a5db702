import { execFile, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { copyFile, mkdtemp, readdir, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { build } from "esbuild";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const run = promisify(execFile);
const bundleName = "kingcupglade.cjs";

describe("the build of the binary", () => {
  let folder: string;
  let running: ChildProcess | undefined;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "binary-build-"));
    await build({
      stdin: {
        // Runs until its input ends.
        contents: `process.stdin.resume(); console.log("ready");`,
      },
      outfile: join(folder, bundleName),
      platform: "node",
      format: "cjs",
    });
  });

  afterEach(async () => {
    if (running) {
      running.stdin!.end();
      await once(running, "exit");
      running = undefined;
    }
    await rm(folder, { recursive: true });
  });

  async function buildBinary(): Promise<void> {
    await run(process.execPath, ["tools/binary.mjs", folder]);
  }

  async function startBinary(): Promise<string> {
    running = spawn(join(folder, "kingcupglade"));
    const [text] = await once(running.stdout!, "data");
    return String(text).trim();
  }

  // Guards against ETXTBSY while a process of the checkout runs.
  it("replaces a program that runs", async () => {
    await buildBinary();
    expect(await startBinary()).toBe("ready");
    await buildBinary();
    expect(await readdir(folder)).toEqual(["kingcupglade", bundleName]);
  });

  it("leaves a whole program after two builds at once", async () => {
    await Promise.all([buildBinary(), buildBinary()]);
    expect(await startBinary()).toBe("ready");
  });

  it("leaves the program as it is when it fails", async () => {
    await buildBinary();
    await copyFile(join(folder, bundleName), join(folder, "kept.cjs"));
    await rm(join(folder, bundleName));
    await expect(buildBinary()).rejects.toThrow();
    expect(await startBinary()).toBe("ready");
    expect(await readdir(folder)).toEqual(["kept.cjs", "kingcupglade"]);
  });
});
