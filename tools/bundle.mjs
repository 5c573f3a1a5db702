// Bundles the command line program and its imports into one CommonJS file, in
// the given folder or dist/.
import { build } from "esbuild";

const folder = process.argv[2] ?? "dist";

await build({
  entryPoints: ["packages/kingcupglade/main.ts"],
  outfile: `${folder}/kingcupglade.cjs`,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // Identifiers are not minified, so that stack traces stay readable.
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: false,
  logLevel: "warning",
});
