// Runs the tests with vitest, to which it passes its arguments, and fails unless
// only tests that KNOWN-RED.txt lists have failed: node tools/test.mjs [ARGUMENT...]
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { judgeReport, readListedTests, selectsTests } from "./test_outcome.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const vitest = join(
  dirname(createRequire(import.meta.url).resolve("vitest/package.json")),
  "vitest.mjs",
);

/** Runs vitest; resolves with how it ended. */
function runVitest(vitestArguments, reportFile) {
  const child = spawn(process.execPath, [
    vitest,
    "run",
    "--reporter=default",
    `--reporter=${join(root, "tools/test_reporter.mjs")}`,
    ...vitestArguments,
  ], {
    cwd: root,
    stdio: "inherit",
    env: { ...process.env, TEST_REPORT_FILE: reportFile },
  });
  let received = null;
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.on(signal, () => {
      received ??= signal;
      child.kill(signal);
    });
  }
  return new Promise((resolve, reject) => {
    child.on("error", reject);
    child.on(
      "close",
      (exitCode, signal) => resolve({ exitCode, signal: received ?? signal }),
    );
  });
}

function printOutcome({ listed, faults, passed, listedFailed }) {
  for (const { name, result } of listed) {
    console.log(`listed in KNOWN-RED.txt: ${result}: ${name}`);
  }
  for (const fault of faults) console.log(fault);
  console.log(`${listedFailed} listed in KNOWN-RED.txt failed`);
  console.log(`${passed} passed, ${faults.length} failed`);
}

const vitestArguments = process.argv.slice(2);
const listed = readListedTests(
  readFileSync(join(root, "KNOWN-RED.txt"), "utf8"),
);
const folder = mkdtempSync(join(tmpdir(), "test-report-"));
try {
  const reportFile = join(folder, "report.json");
  const end = await runVitest(vitestArguments, reportFile);
  const outcome = judgeReport({
    ...end,
    report: existsSync(reportFile)
      ? JSON.parse(readFileSync(reportFile, "utf8"))
      : undefined,
    listed,
    isSelection: selectsTests(vitestArguments),
  });
  printOutcome(outcome);
  process.exitCode = outcome.faults.length > 0 ? 1 : 0;
} finally {
  rmSync(folder, { recursive: true });
}
