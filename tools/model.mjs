// Searches the specifications under spec/ by random runs with fixed seeds: the
// whole protocol must keep its invariants, and leaving out any one rule must
// break the invariant that the rule is for.
import { spawn } from "node:child_process";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";

const quint = join(
  dirname(
    createRequire(import.meta.url).resolve(
      "@informalsystems/quint/package.json",
    ),
  ),
  "dist/src/cli.js",
);
const parallelRuns = 3;
const mutationSamples = 400;

/** Searches from where random runs seldom come, by the steps that matter there. */
const oldPush = {
  init: "initWithOldPush",
  step: "stepOfTargets",
  steps: 25,
};
const rivals = { init: "initWithRivals", step: "stepOfRivals", steps: 12 };

const specifications = [
  {
    file: "ownership",
    invariants: ["singleOwner", "noStaleEffect", "noCutRequest"],
    witnesses: ["moved", "ranAfterMove"],
    steps: 60,
    samples: 2000,
    mutations: [
      { module: "ownershipWithoutOwnerWait", seed: "7", breaks: "singleOwner" },
      {
        module: "ownershipWithoutGatewayWait",
        seed: "0x5be3c",
        breaks: "noCutRequest",
      },
      {
        module: "ownershipWithoutFence",
        seed: "0x2816ec",
        breaks: "noStaleEffect",
      },
      {
        module: "ownershipWithLateCount",
        seed: "0x10a861",
        breaks: "singleOwner",
      },
      {
        module: "ownershipWithoutPushNumbers",
        seed: "0x9f862",
        breaks: "singleOwner",
      },
      {
        module: "ownershipWithRememberedGrants",
        seed: "7",
        breaks: "singleOwner",
      },
      {
        module: "ownershipWithOldPushes",
        seed: "0x1d40",
        breaks: "singleOwner",
        ...oldPush,
      },
    ],
    steered: [{ ...oldPush, invariants: ["singleOwner"] }],
  },
  {
    file: "bundle",
    invariants: [
      "oneDigest",
      "neverReverts",
      "resendAnsweredAlike",
      "inForceEverywhere",
    ],
    witnesses: ["raced", "claimedSecond"],
    steps: 40,
    samples: 1500,
    mutations: [
      { module: "bundleWithoutOrder", seed: "7", breaks: "neverReverts" },
      { module: "bundleWithoutDigest", seed: "7", breaks: "oneDigest" },
      {
        module: "bundleWithoutResend",
        seed: "7",
        breaks: "resendAnsweredAlike",
      },
      {
        module: "bundleWithLateReplies",
        seed: "0x13209",
        breaks: "inForceEverywhere",
      },
      { module: "bundleWithoutWait", seed: "7", breaks: "inForceEverywhere" },
    ],
    steered: [],
  },
  {
    file: "voters",
    invariants: ["acknowledgedSurvives", "oneLeaderATerm"],
    witnesses: ["repairedTwice", "lostTwice"],
    steps: 35,
    samples: 800,
    mutations: [
      {
        module: "votersWithoutCommitWait",
        seed: "0x1e60b",
        breaks: "acknowledgedSurvives",
      },
      {
        module: "votersWithBigChanges",
        seed: "0x5e0fa",
        breaks: "acknowledgedSurvives",
      },
      {
        module: "votersWithWipedNames",
        seed: "7",
        breaks: "acknowledgedSurvives",
      },
      {
        module: "votersWithOldTerms",
        seed: "0x2a37",
        breaks: "acknowledgedSurvives",
        ...rivals,
      },
    ],
    steered: [rivals],
  },
];

const runs = specifications.flatMap((specification) => [
  ...[{}, ...specification.steered].map((start) => ({
    init: "init",
    step: "step",
    ...specification,
    ...start,
    module: `${specification.file}Whole`,
    seed: "7",
    breaks: null,
  })),
  ...specification.mutations.map((mutation) => ({
    init: "init",
    step: "step",
    ...specification,
    ...mutation,
    invariants: [mutation.breaks],
    samples: mutationSamples,
  })),
]);

/** Runs the simulator once; resolves with its whole output. */
function simulate(run) {
  const child = spawn(process.execPath, [
    quint,
    "run",
    `spec/${run.file}.qnt`,
    "--backend=typescript",
    `--main=${run.module}`,
    `--init=${run.init}`,
    `--step=${run.step}`,
    `--seed=${run.seed}`,
    `--max-samples=${run.samples}`,
    `--max-steps=${run.steps}`,
    "--verbosity=1",
    "--invariants",
    ...run.invariants,
    "--witnesses",
    ...run.witnesses,
  ]);
  return new Promise((resolve, reject) => {
    let output = "";
    child.stdout.on("data", (chunk) => (output += chunk));
    child.stderr.on("data", (chunk) => (output += chunk));
    child.once("error", reject);
    child.once("close", () => resolve(output));
  });
}

/** Judges a run by its output. */
function judge(run, output) {
  const explored = /out of (\d+) explored/.exec(output)?.[1] ?? "1";
  const violated = output.includes("[violation]");
  const broken = run.invariants.filter((each) =>
    output.includes(`❌ ${each}`) || (violated && run.invariants.length === 1)
  );
  const held = output.includes("[ok] No violation found");
  const passed = run.breaks === null ? held : broken.includes(run.breaks);
  const reached = [...output.matchAll(/(\w+) was witnessed in (\d+) trace/g)]
    .map(([, witness, count]) => `${witness} in ${count}`).join(", ");
  const found = held ? "no violation" : `broken: ${broken.join(", ") || "?"}`;
  const line =
    `${run.module} from ${run.init}: ${explored} runs of ${run.steps} steps, seed ${run.seed}: ${found} (${reached})`;
  return { passed, line };
}

async function work(queue, failures) {
  for (let run = queue.shift(); run; run = queue.shift()) {
    const output = await simulate(run);
    const { passed, line } = judge(run, output);
    console.log(`${passed ? "ok  " : "FAIL"} ${line}`);
    if (!passed) {
      failures.push(run.module);
      console.log(output);
    }
  }
}

const failures = [];
const queue = [...runs];
await Promise.all(
  Array.from({ length: parallelRuns }, () => work(queue, failures)),
);
console.log(
  failures.length === 0
    ? `${runs.length} searches as expected`
    : `not as expected: ${failures.join(", ")}`,
);
process.exitCode = failures.length === 0 ? 0 : 1;
