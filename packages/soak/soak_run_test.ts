import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { runSoak } from "./soak_run.ts";

describe("soak run with real processes", () => {
  let folder: string;
  let isFailed = false;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "soak-"));
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: join(folder, "kingcupglade.cjs"),
      bundle: true,
      platform: "node",
      target: "node20",
      format: "cjs",
      logLevel: "error",
    });
  });

  // The logs of a run with violations are kept.
  afterAll(async () => {
    if (!isFailed) await rm(folder, { recursive: true });
  });

  it.each([1, 2])("violates no invariant with seed %i", async (seed) => {
    const seedFolder = join(folder, String(seed));
    const hadFailed = isFailed;
    isFailed = true;
    const result = await runSoak({
      seed,
      milliseconds: 6000,
      bundle: join(folder, "kingcupglade.cjs"),
      folder: seedFolder,
      prefix: loopbackPrefix(),
    }).catch((failure: unknown) => {
      throw new Error(`seed ${seed} failed, logs are kept in ${seedFolder}`, {
        cause: failure,
      });
    });
    expect(
      result.violations,
      `settings, data and logs are kept in ${seedFolder}\n${
        result.faults.join("\n")
      }`,
    ).toEqual([]);
    expect(result.faults.length).toBeGreaterThan(3);
    expect(result.served).toBeGreaterThan(100);
    // Without these, the monitors of workspaces would have judged nothing.
    expect(result.workspaces.revoked).toBeGreaterThan(20);
    expect(result.workspaces.valid).toBeGreaterThan(100);
    isFailed = hadFailed;
  });
});
