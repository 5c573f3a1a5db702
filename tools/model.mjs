// Checks the specifications under spec/ by random simulation with fixed seeds.
// The full protocol must keep its invariants, and disabling any single rule must
// violate the invariant that the rule protects. The seed of such a mutation leads
// to a violation within `mutationSamples` runs.
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
const maximumParallelRuns = 3;
const mutationSamples = 400;

// Searches that start in states that random runs rarely reach and take only the
// steps that matter there.
const stalePushSearch = {
  init: "initWithStalePush",
  step: "stepTargetsOnly",
  steps: 25,
};
const competingLeadersSearch = {
  init: "initWithCompetingLeaders",
  step: "stepCompetingLeaders",
  steps: 12,
};

const specifications = [
  {
    file: "ownership",
    invariants: ["singleOwner", "noStaleEffect", "noWrongRefusal"],
    witnesses: ["moved", "ranAfterMove"],
    steps: 60,
    samples: 2000,
    mutations: [
      {
        module: "ownershipWithoutOwnerWait",
        seed: "7",
        violates: "singleOwner",
      },
      {
        module: "ownershipWithoutGatewayWait",
        seed: "0x5be3c",
        violates: "noWrongRefusal",
      },
      {
        module: "ownershipWithoutFence",
        seed: "0x2816ec",
        violates: "noStaleEffect",
      },
      {
        module: "ownershipWithLateLeaseStart",
        seed: "0x10a861",
        violates: "singleOwner",
      },
      {
        module: "ownershipWithoutPushOrder",
        seed: "0x9f862",
        violates: "singleOwner",
      },
      {
        module: "ownershipWithStaleConfirmations",
        seed: "7",
        violates: "singleOwner",
      },
      {
        module: "ownershipWithStalePushes",
        seed: "0x1d40",
        violates: "singleOwner",
        ...stalePushSearch,
      },
    ],
    guidedSearches: [{ ...stalePushSearch, invariants: ["singleOwner"] }],
  },
  {
    file: "bundle",
    invariants: [
      "oneDigest",
      "neverReverts",
      "resendIsIdempotent",
      "inForceEverywhere",
    ],
    witnesses: ["competingBundles", "claimedLaterVersion"],
    steps: 40,
    samples: 1500,
    mutations: [
      { module: "bundleWithoutOrder", seed: "7", violates: "neverReverts" },
      { module: "bundleWithoutDigest", seed: "7", violates: "oneDigest" },
      {
        module: "bundleWithoutResend",
        seed: "7",
        violates: "resendIsIdempotent",
      },
      {
        module: "bundleWithLateReplies",
        seed: "0x13209",
        violates: "inForceEverywhere",
      },
      { module: "bundleWithoutWait", seed: "7", violates: "inForceEverywhere" },
    ],
    guidedSearches: [],
  },
  {
    file: "voters",
    invariants: ["acknowledgedSurvives", "oneLeaderPerTerm"],
    witnesses: ["repairedTwice", "lostTwice"],
    steps: 35,
    samples: 800,
    mutations: [
      {
        module: "votersWithoutCommitWait",
        seed: "0x1e60b",
        violates: "acknowledgedSurvives",
      },
      {
        module: "votersWithMultipleChanges",
        seed: "0x5e0fa",
        violates: "acknowledgedSurvives",
      },
      {
        module: "votersWithReusedIdentities",
        seed: "7",
        violates: "acknowledgedSurvives",
      },
      {
        module: "votersWithOldTermCommits",
        seed: "0x2a37",
        violates: "acknowledgedSurvives",
        ...competingLeadersSearch,
      },
    ],
    guidedSearches: [competingLeadersSearch],
  },
];

const runs = specifications.flatMap((specification) => [
  ...[{}, ...specification.guidedSearches].map((search) => ({
    init: "init",
    step: "step",
    ...specification,
    ...search,
    module: `${specification.file}Full`,
    seed: "7",
    violates: null,
  })),
  ...specification.mutations.map((mutation) => ({
    init: "init",
    step: "step",
    ...specification,
    ...mutation,
    invariants: [mutation.violates],
    samples: mutationSamples,
  })),
]);

/** Runs the simulator once and resolves with its complete output. */
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

/** Checks the output of a run against the expected result. */
function checkOutput(run, output) {
  const exploredRuns = /out of (\d+) explored/.exec(output)?.[1] ?? "1";
  const hasViolation = output.includes("[violation]");
  // The simulator does not name the violated invariant if it checks only one.
  const violatedInvariants = run.invariants.filter((invariant) =>
    output.includes(`❌ ${invariant}`) ||
    (hasViolation && run.invariants.length === 1)
  );
  const hasNoViolation = output.includes("[ok] No violation found");
  const passed = run.violates === null
    ? hasNoViolation
    : violatedInvariants.includes(run.violates);
  const witnessCounts = [
    ...output.matchAll(/(\w+) was witnessed in (\d+) trace/g),
  ]
    .map(([, witness, count]) => `${witness} in ${count}`).join(", ");
  const result = hasNoViolation
    ? "no violation"
    : `violated: ${violatedInvariants.join(", ") || "?"}`;
  const line =
    `${run.module} from ${run.init}: ${exploredRuns} runs of ${run.steps} steps, seed ${run.seed}: ${result} (${witnessCounts})`;
  return { passed, line };
}

async function runQueue(queue, failures) {
  for (let run = queue.shift(); run; run = queue.shift()) {
    const output = await simulate(run);
    const { passed, line } = checkOutput(run, output);
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
  Array.from({ length: maximumParallelRuns }, () => runQueue(queue, failures)),
);
console.log(
  failures.length === 0
    ? `${runs.length} searches gave the expected result`
    : `searches with an unexpected result: ${failures.join(", ")}`,
);
process.exitCode = failures.length === 0 ? 0 : 1;
