import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { LinkScenario } from "./link_faults.ts";
import { runLinkSoak } from "./link_soak.ts";
import type { LinkSoakOptions, LinkSoakResult } from "./link_soak.ts";

describe("soak run with links that fail", () => {
  let folder: string;
  let failures = 0;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "link-soak-"));
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
    if (failures === 0) await rm(folder, { recursive: true });
  });

  async function run(
    name: string,
    options: Pick<
      LinkSoakOptions,
      "scenarios" | "milliseconds" | "routeCount"
    >,
  ): Promise<LinkSoakResult> {
    failures += 1;
    const result = await runLinkSoak({
      ...options,
      seed: 1,
      bundle: join(folder, "kingcupglade.cjs"),
      folder: join(folder, name),
      prefix: loopbackPrefix(),
    });
    expect(
      result.violations,
      `settings, data and logs are kept in ${folder}\n${
        result.faults.join("\n")
      }`,
    ).toEqual([]);
    // Without these, nothing would have been judged.
    expect(result.probed).toBeGreaterThan(500);
    expect(result.left).toBeGreaterThan(5);
    return result;
  }

  // Guards against gateways that wait for seconds for a first update on a
  // connection that is silent for good, and run dropped routes meanwhile.
  it("leaves no gateway at an old table when connections fall silent", async () => {
    const result = await run("silence", {
      scenarios: [LinkScenario.silenceGatewaysSeries],
      milliseconds: 3000,
    });
    expect(result.faults).toHaveLength(3);
    failures -= 1;
  });

  // Guards against gateways that keep an old table for as long as their path to
  // the leader is cut, although they reach the other control VMs.
  it("leaves no gateway at an old table whose path to the leader is cut", async () => {
    const result = await run("path", {
      scenarios: [LinkScenario.cutLeaderPath],
      milliseconds: 6000,
      routeCount: 10,
    });
    expect(result.faults.length).toBeGreaterThan(1);
    failures -= 1;
  });
});
