// Decides whether a run of the tests passes, from the report that test_reporter.mjs
// writes and the tests that KNOWN-RED.txt lists.

/**
 * @typedef {object} TestReport
 * @property {"passed" | "failed" | "interrupted"} reason How the run ended.
 * @property {string[]} unhandledErrors
 * @property {{
 *   file: string,
 *   errors: string[],
 *   tests: { title: string, state: string }[],
 * }[]} files With the errors outside of tests: of loading the file and of hooks.
 */

/**
 * @typedef {object} TestOutcome
 * @property {{ name: string, result: string }[]} listed Listed tests.
 * @property {string[]} faults What fails the run, one line each.
 * @property {number} passed Tests that passed, listed ones included.
 * @property {number} listedFailed Listed tests that failed.
 */

const listedLine = /^\s*test:(.*)$/;
const listedName = /^ (\S+ > \S.*)$/;

/** Arguments of vitest that change how tests run, and not which ones. */
const speedArgument = /^--(maxWorkers|reporter)=/;

/** Whether arguments of vitest may leave out tests. */
export function selectsTests(vitestArguments) {
  return vitestArguments.some((each) => !speedArgument.test(each));
}

/**
 * Returns the tests that KNOWN-RED.txt lists in lines `test: FILE > TITLE`, each
 * once.
 *
 * @param {string} text
 * @returns {string[]}
 * @throws {Error} when a line of a test has another form.
 */
export function readListedTests(text) {
  const names = text.split("\n").flatMap((line) => {
    const rest = listedLine.exec(line)?.[1];
    if (rest === undefined) return [];
    const name = listedName.exec(rest.trimEnd())?.[1];
    if (name === undefined) {
      throw new Error(
        `KNOWN-RED.txt: "${line.trim()}" is not of the form "test: FILE > TITLE"`,
      );
    }
    return [name];
  });
  return [...new Set(names)];
}

/**
 * Decides the outcome of a run. A run passes if it has no faults.
 *
 * @param {object} options
 * @param {TestReport | undefined} options.report Undefined if none was written.
 * @param {string[]} options.listed See {@link readListedTests}.
 * @param {boolean} options.isSelection Whether only a part of the tests was asked
 *   for, so that listed tests may be absent.
 * @param {number | null} options.exitCode Of vitest; null if a signal ended it.
 * @param {string | null} options.signal Which ended vitest or this tool.
 * @returns {TestOutcome}
 */
export function judgeReport(options) {
  const { report, listed, isSelection, exitCode, signal } = options;
  const files = report?.files ?? [];
  const tests = files.flatMap(({ file, tests }) =>
    tests.map(({ title, state }) => ({ name: `${file} > ${title}`, state }))
  );
  const named = (state) =>
    tests.filter((each) => each.state === state).map(({ name }) => name);
  const failed = named("failed");
  const isListed = (name) => listed.includes(name);
  const listedResults = listed.map((name) => ({
    name,
    result: listedResult(name, { tests, files, isSelection }),
  }));
  const faults = [
    ...endFaults({ report, signal }),
    ...(report?.unhandledErrors ?? []).map((each) =>
      `unhandled error: ${each}`
    ),
    ...files.flatMap(({ file, errors }) =>
      errors.map((each) => `error outside of a test: ${file}: ${each}`)
    ),
    ...failed.filter((name) => !isListed(name)).map((name) =>
      `failed: ${name}`
    ),
    ...named("pending").map((name) => `did not end: ${name}`),
    ...listedResults.flatMap(({ name, result }) => {
      const fault = listedFaults.get(result);
      return fault ? [`${fault}: ${name}`] : [];
    }),
  ];
  const passed = named("passed").length;
  if (report && passed + failed.length === 0) faults.push("no test ran");
  if (exitCode !== 0 && faults.length === 0 && failed.length === 0) {
    faults.push(`vitest ended with ${exitCode} although no test failed`);
  }
  return {
    listed: listedResults,
    faults,
    passed,
    listedFailed: failed.filter(isListed).length,
  };
}

/** What fails the run, by the result of a listed test. */
const listedFaults = new Map([
  ["missing", "KNOWN-RED.txt lists a test that does not exist"],
  ["ambiguous", "KNOWN-RED.txt lists a title that several tests have"],
  ["skipped", "KNOWN-RED.txt lists a test that is skipped"],
]);

function listedResult(name, { tests, files, isSelection }) {
  const matching = tests.filter((each) => each.name === name);
  if (matching.length > 1) return "ambiguous";
  const state = matching[0]?.state;
  if (state === "skipped" && isSelection) return "not selected";
  if (state !== undefined) return state;
  const file = files.find((each) => name.startsWith(`${each.file} > `));
  // The tests of a file that cannot be loaded are unknown; the error is a fault.
  if (file?.tests.length === 0 && file.errors.length > 0) return "not loaded";
  return isSelection && !file ? "not selected" : "missing";
}

function endFaults({ report, signal }) {
  if (signal !== null) return [`interrupted by ${signal}`];
  if (!report) return ["vitest wrote no report"];
  return report.reason === "interrupted" ? ["interrupted"] : [];
}
