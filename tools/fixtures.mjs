// Writes the samples of this release into a file of fixtures, named after the
// commit that is released: node tools/fixtures.mjs COMMIT
import { build } from "esbuild";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { pathToFileURL } from "node:url";

const commit = process.argv[2];
if (!/^[0-9a-f]{7,40}$/.test(commit ?? "")) {
  throw new Error("name the released commit, as in: fixtures.mjs 7533a41");
}
const folder = mkdtempSync("dist-fixtures-");
try {
  const outfile = join(folder, "samples.mjs");
  await build({
    entryPoints: ["packages/fleet_control/release_samples.ts"],
    outfile,
    bundle: true,
    platform: "node",
    format: "esm",
    banner: {
      js:
        'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
    logLevel: "error",
  });
  const { releaseSamples } = await import(pathToFileURL(outfile).href);
  const fixtures = Object.fromEntries(
    Object.entries(releaseSamples).map(([name, { value, encode }]) => [
      name,
      Buffer.from(encode(value)).toString("base64"),
    ]),
  );
  writeFileSync(
    `packages/fleet_control/fixtures/${commit}.json`,
    `${JSON.stringify(fixtures, null, 2)}\n`,
  );
} finally {
  rmSync(folder, { recursive: true });
}
