// Builds a single executable application: injects the bundle into a copy of the
// Node.js executable, in the given folder or dist/.
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { inject } from "postject";

const folder = process.argv[2] ?? "dist";
// The program may be running, or be built by another process: it is replaced as
// a whole, from a folder in the same file system.
const workFolder = mkdtempSync(join(folder, "binary-"));

try {
  const blob = join(workFolder, "kingcupglade.blob");
  const binary = join(workFolder, "kingcupglade");
  const configuration = join(workFolder, "sea.json");
  writeFileSync(
    configuration,
    JSON.stringify({
      main: join(folder, "kingcupglade.cjs"),
      output: blob,
      disableExperimentalSEAWarning: true,
      useCodeCache: true,
    }),
  );
  execFileSync(process.execPath, [
    "--experimental-sea-config",
    configuration,
  ], { stdio: ["ignore", "ignore", "inherit"] });
  copyFileSync(process.execPath, binary);
  chmodSync(binary, 0o755);
  // Node.js defines the names of the blob and of the sentinel.
  await inject(binary, "NODE_SEA_BLOB", readFileSync(blob), {
    sentinelFuse: "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2",
  });
  renameSync(binary, join(folder, "kingcupglade"));
} finally {
  rmSync(workFolder, { recursive: true });
}
