import { execFile } from "node:child_process";
import {
  chmod,
  mkdir,
  mkdtemp,
  readFile,
  rm,
  utimes,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { delimiter, join } from "node:path";
import { promisify } from "node:util";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const run = promisify(execFile);
const secondsPerHour = 3600;

async function readBuildCommand(): Promise<string> {
  const text = await readFile("deploy/system.toml", "utf8");
  return JSON.parse(/^build = (".*")$/m.exec(text)![1]!);
}

describe("the build command of the deploy file", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "deploy-build-"));
    await mkdir(join(folder, "node_modules/.bin"), { recursive: true });
    await mkdir(join(folder, "bin"));
    await createProgram("bin/npm", '#!/bin/sh\necho "npm $*" >> calls\n');
    await createProgram("bin/node", '#!/bin/sh\necho "node $*" >> calls\n');
    await createProgram("node_modules/.bin/esbuild", "#!/bin/sh\n");
    await writeFile(join(folder, "node_modules/.package-lock.json"), "");
    await createLockFile({ ageSeconds: secondsPerHour });
  });

  afterEach(() => rm(folder, { recursive: true }));

  async function createProgram(path: string, content: string | Buffer) {
    await writeFile(join(folder, path), content);
    await chmod(join(folder, path), 0o755);
  }

  async function createLockFile({ ageSeconds }: { ageSeconds: number }) {
    const path = join(folder, "package-lock.json");
    await writeFile(path, "");
    const changedAt = Date.now() / 1000 - ageSeconds;
    await utimes(path, changedAt, changedAt);
  }

  /** Runs the command with programs that only record their arguments. */
  async function build(): Promise<readonly string[]> {
    await run("sh", ["-c", await readBuildCommand()], {
      cwd: folder,
      env: {
        PATH: [join(folder, "bin"), process.env["PATH"]].join(delimiter),
      },
    });
    const calls = await readFile(join(folder, "calls"), "utf8");
    return calls.trim().split("\n");
  }

  const install = "npm ci --silent --ignore-scripts";
  const steps = [
    "node tools/bundle.mjs target",
    "node tools/binary.mjs target",
  ];

  it("uses the installed packages", async () => {
    expect(await build()).toEqual(steps);
  });

  it("installs packages when the lock file has changed", async () => {
    await createLockFile({ ageSeconds: -secondsPerHour });
    expect(await build()).toEqual([install, ...steps]);
  });

  // Guards against a build that fails with packages of another processor.
  it("installs packages when those of another machine are there", async () => {
    const foreignProgram = Buffer.from([0x7f, 0x45, 0x4c, 0x46, 0, 0, 0, 0]);
    await createProgram("node_modules/.bin/esbuild", foreignProgram);
    expect(await build()).toEqual([install, ...steps]);
  });
});
