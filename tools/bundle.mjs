// Bundles the command line and everything it imports into one CommonJS file.
import { build } from "esbuild";

await build({
  entryPoints: ["packages/kingcupglade/main.ts"],
  outfile: "dist/kingcupglade.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  sourcemap: false,
  logLevel: "warning",
});
