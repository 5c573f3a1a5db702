// A reporter of vitest that writes what `judgeReport` in test_outcome.mjs reads, as
// JSON, into the file named by TEST_REPORT_FILE. The JSON reporter of vitest omits
// errors outside of tests and the reason for the end of a run.
import { writeFileSync } from "node:fs";

const describeError = ({ message, stack }) =>
  message || stack || "without a message";

/** Returns the errors of a file or a suite that are errors of no test. */
function errorsOutsideTests(module) {
  return [module, ...module.children.allSuites()].flatMap((suite) =>
    suite.errors().map(describeError)
  );
}

export default class TestReporter {
  onTestRunEnd(modules, unhandledErrors, reason) {
    const report = {
      reason,
      unhandledErrors: unhandledErrors.map(describeError),
      files: modules.map((module) => ({
        file: module.relativeModuleId,
        errors: errorsOutsideTests(module),
        tests: [...module.children.allTests()].map((test) => ({
          title: test.fullName,
          state: test.result().state,
        })),
      })),
    };
    writeFileSync(process.env.TEST_REPORT_FILE, JSON.stringify(report));
  }
}
