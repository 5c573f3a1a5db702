import { describe, expect, it } from "vitest";
import { judgeReport, readListedTests, selectsTests } from "./test_outcome.mjs";

const file = "packages/a/b_test.ts";
const known = `${file} > a > fails at times`;
const passing = { title: "a > passes", state: "passed" };
const failing = { title: "a > fails at times", state: "failed" };

function judge({ tests = [passing, failing], report = {}, ...options } = {}) {
  return judgeReport({
    report: {
      reason: "failed",
      unhandledErrors: [],
      files: [{ file, errors: [], tests }],
      ...report,
    },
    listed: [known],
    isSelection: false,
    exitCode: 1,
    signal: null,
    ...options,
  });
}

describe("the outcome of a run of the tests", () => {
  it("passes if only listed tests failed", () => {
    expect(judge()).toEqual({
      listed: [{ name: known, result: "failed" }],
      faults: [],
      passed: 1,
      listedFailed: 1,
    });
  });

  it("passes if listed tests passed, and counts them as such", () => {
    const tests = [passing, { ...failing, state: "passed" }];
    const outcome = judge({ tests, exitCode: 0 });
    expect(outcome).toMatchObject({ faults: [], passed: 2, listedFailed: 0 });
    expect(outcome.listed).toEqual([{ name: known, result: "passed" }]);
  });

  describe("fails", () => {
    it.each([
      ["another test failed", {
        tests: [failing, { ...passing, state: "failed" }],
      }, [`failed: ${file} > a > passes`]],
      // A title that only begins like a listed one is another test.
      ["a test failed whose title is longer than a listed one", {
        tests: [failing, { title: `${failing.title}, too`, state: "failed" }],
      }, [`failed: ${known}, too`]],
      ["a file failed to load", {
        tests: [],
        report: {
          files: [
            { file: "c_test.ts", errors: ["no module"], tests: [] },
            { file, errors: [], tests: [failing] },
          ],
        },
      }, ["error outside of a test: c_test.ts: no module"]],
      // The tests of the file are unknown, so that none is said to be missing.
      ["the file of a listed test failed to load", {
        report: {
          files: [
            { file, errors: ["no module"], tests: [] },
            { file: "c_test.ts", errors: [], tests: [passing] },
          ],
        },
      }, [`error outside of a test: ${file}: no module`]],
      ["a hook failed beside a listed test", {
        report: {
          files: [{ file, errors: ["afterAll"], tests: [passing, failing] }],
        },
      }, [`error outside of a test: ${file}: afterAll`]],
      ["an unhandled error occurred", {
        report: { unhandledErrors: ["lost"] },
      }, ["unhandled error: lost"]],
      ["the run was interrupted", {
        report: { reason: "interrupted" },
      }, ["interrupted"]],
      ["vitest was ended by a signal", {
        exitCode: null,
        signal: "SIGKILL",
      }, ["interrupted by SIGKILL"]],
      ["a test did not end", {
        tests: [failing, { ...passing, state: "pending" }],
      }, [`did not end: ${file} > a > passes`]],
      ["a listed test is skipped", {
        tests: [passing, { ...failing, state: "skipped" }],
      }, [`KNOWN-RED.txt lists a test that is skipped: ${known}`]],
      ["two tests have a listed title", {
        tests: [failing, failing],
      }, [`KNOWN-RED.txt lists a title that several tests have: ${known}`]],
      ["a listed test no longer exists", {
        tests: [passing],
        exitCode: 0,
      }, [`KNOWN-RED.txt lists a test that does not exist: ${known}`]],
      ["vitest failed for no reason of a test", {
        listed: [],
        tests: [passing],
      }, ["vitest ended with 1 although no test failed"]],
    ])("if %s", (_reason, options, faults) => {
      expect(judge(options).faults).toEqual(faults);
    });

    it("if no test ran", () => {
      const options = { listed: [], report: { files: [] }, exitCode: 0 };
      expect(judge(options).faults).toEqual(["no test ran"]);
      const skipped = [{ ...passing, state: "skipped" }];
      expect(judge({ ...options, report: {}, tests: skipped }).faults)
        .toEqual(["no test ran"]);
    });

    it("if vitest wrote no report", () => {
      const outcome = judgeReport({
        report: undefined,
        listed: [],
        isSelection: false,
        exitCode: 0,
        signal: null,
      });
      expect(outcome.faults).toEqual(["vitest wrote no report"]);
    });
  });

  describe("of a part of the tests", () => {
    it("passes without listed tests of other files", () => {
      const files = [{ file: "c_test.ts", errors: [], tests: [passing] }];
      const options = { report: { files }, exitCode: 0 };
      const outcome = judge({ ...options, isSelection: true });
      expect(outcome.faults).toEqual([]);
      expect(outcome.listed).toEqual([{ name: known, result: "not selected" }]);
      expect(judge(options).faults).toHaveLength(1);
    });

    it("passes without a listed test that a pattern left out", () => {
      const tests = [passing, { ...failing, state: "skipped" }];
      expect(judge({ tests, isSelection: true, exitCode: 0 }).faults)
        .toEqual([]);
    });

    it("fails without a listed test of a file that ran", () => {
      expect(judge({ tests: [passing], isSelection: true }).faults)
        .toHaveLength(1);
    });
  });

  it.each([
    [[], false],
    [["--maxWorkers=2", "--reporter=verbose"], false],
    [["packages/a"], true],
    [["-t", "title"], true],
    [["--changed"], true],
  ])("takes the arguments %j for a selection: %s", (given, expected) => {
    expect(selectsTests(given)).toBe(expected);
  });
});

describe("the list of tests known to fail", () => {
  it("is read from the lines of tests of all entries, each once", () => {
    const text = `Entry\n\n- npx vitest run a\n  test: ${known}\n  Cause` +
      ` not found.\n- b\n  test: c_test.ts > d > e > f: g\n  test: ${known} \n`;
    expect(readListedTests(text)).toEqual([known, "c_test.ts > d > e > f: g"]);
  });

  // A line that is not understood would silently list nothing.
  it.each(["  test: no title", "  test: a_test.ts >", "  test:a_test.ts > b"])(
    "rejects the line %j",
    (line) => expect(() => readListedTests(`- a\n${line}\n`)).toThrow("form"),
  );
});
