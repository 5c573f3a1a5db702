import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { LinkScenario } from "./link_faults.ts";
import { runLinkSoak } from "./link_soak.ts";

describe("soak run with links that fail", () => {
  let folder: string;
  let isFailed = false;

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
    if (!isFailed) await rm(folder, { recursive: true });
  });

  // Guards against gateways that wait for seconds for a first update on a
  // connection that is silent for good, and run dropped routes meanwhile.
  it("leaves no gateway at an old table when connections fall silent", async () => {
    isFailed = true;
    const result = await runLinkSoak({
      seed: 1,
      milliseconds: 3000,
      bundle: join(folder, "kingcupglade.cjs"),
      folder: join(folder, "run"),
      prefix: loopbackPrefix(),
      scenarios: [LinkScenario.silenceGatewaysSeries],
    });
    expect(
      result.violations,
      `settings, data and logs are kept in ${folder}\n${
        result.faults.join("\n")
      }`,
    ).toEqual([]);
    expect(result.faults).toHaveLength(3);
    // Without these, nothing would have been judged.
    expect(result.probed).toBeGreaterThan(500);
    expect(result.left).toBeGreaterThan(5);
    isFailed = false;
  });
});
