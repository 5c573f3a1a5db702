import { setTimeout as pause } from "node:timers/promises";
import { checkHistory, formatViolations } from "@kingcupglade/checker";
import type { TimedEvent } from "@kingcupglade/fakes";
import { Balancer } from "./balancer.ts";
import { CallerPool } from "./caller_pool.ts";
import { Deployment } from "./deployment.ts";
import { hsinchu, hsinchuTargets } from "./hsinchu.ts";

const keys = Array.from({ length: 200 }, (_, index) => `clamp-${index + 1}`);
const callerCount = 24;
const seed = 1;
const stableMilliseconds = 1500;
const removedDataCentre = "hsinchu-a";

/** Prints one line of the demo. */
export type PrintLine = (line: string) => void;

/** Runs the demo; returns whether all of its checks passed. */
export async function runDemo(print: PrintLine): Promise<boolean> {
  print("starting nine VMs in three regions, and 29 targets");
  const deployment = await Deployment.start(hsinchu);
  const balancer = new Balancer(deployment);
  try {
    await startTargets(deployment, print);
    await balancer.untilAllReady();
    await waitUntilBalanced(deployment);
    const pool = new CallerPool({
      deployment,
      balancer,
      seed,
      callers: callerCount,
      tenants: ["toolroom", "engineers"],
      pathPrefix: "/fixtures/",
      keys,
    });
    await pause(stableMilliseconds);
    print(`${callerCount} callers look up and reserve ${keys.length} fixtures`);
    await killOwner({ deployment, pool, print });
    await crashControlLeader({ deployment, pool, print });
    await removeAndRestoreDataCentre({ deployment, pool, print });
    const cutByRestart = await restartControlLeader({
      deployment,
      pool,
      print,
    });
    await pool.stop();
    return report({ deployment, pool, print }, cutByRestart);
  } finally {
    await balancer.stop();
    await deployment.stop();
  }
}

interface DemoContext {
  readonly deployment: Deployment;
  readonly pool: CallerPool;
  readonly print: PrintLine;
}

async function startTargets(
  deployment: Deployment,
  print: PrintLine,
): Promise<void> {
  const version = await deployment.roll();
  await Promise.all(
    hsinchuTargets.map((target) => deployment.addTarget(target)),
  );
  const status = await deployment.until(({ groups, targets }) =>
    targets.length === hsinchuTargets.length &&
    groups.every((group) => group.withoutOwner === 0 && group.moving === 0)
  );
  const ranges = status.groups.reduce((sum, each) => sum + each.ranges, 0);
  print(`bundle ${version} is in force; ${ranges} ranges have an owner`);
}

/** Waits until ranges no longer move to targets that registered late. */
async function waitUntilBalanced(deployment: Deployment): Promise<void> {
  let version = 0;
  let unchangedSince = performance.now();
  await deployment.until(({ tableVersion }) => {
    if (tableVersion !== version) unchangedSince = performance.now();
    version = tableVersion;
    return performance.now() - unchangedSince > stableMilliseconds;
  });
}

async function killOwner(context: DemoContext): Promise<void> {
  const { deployment, pool, print } = context;
  const { targets } = await deployment.status();
  const owner = targets.find((each) => each.ranges > 0)!;
  pool.resetMaximum();
  deployment.targets.get(owner.target)!.kill();
  await deployment.until((status) =>
    status.targets.every((each) => each.target !== owner.target)
  );
  await waitUntilStable(context);
  print(
    `killed ${owner.target}, which owned ${owner.ranges} ranges: ${
      formatMaximum(pool)
    }`,
  );
}

async function crashControlLeader(context: DemoContext): Promise<void> {
  const { deployment, pool, print } = context;
  const { leader } = await deployment.status();
  pool.resetMaximum();
  await deployment.crashVm(leader);
  await deployment.until((status) => status.leader !== leader);
  await pause(stableMilliseconds);
  await deployment.startVm(leader);
  await deployment.untilReady(leader);
  print(
    `crashed ${leader}, the control leader, and restarted it: ${
      formatMaximum(pool)
    }`,
  );
}

async function removeAndRestoreDataCentre(context: DemoContext): Promise<void> {
  const { deployment, pool, print } = context;
  const countOwnedRanges = async () =>
    (await deployment.status()).targets.filter((each) =>
      each.dataCentre === removedDataCentre
    ).reduce((sum, each) => sum + each.ranges, 0);
  pool.resetMaximum();
  const before = await countOwnedRanges();
  await deployment.roll({
    dataCentres: hsinchu.dataCentres.map((each) => ({
      ...each,
      inService: each.name !== removedDataCentre,
    })),
  });
  await deployment.until((status) =>
    status.targets.every((each) =>
      each.dataCentre !== removedDataCentre || each.ranges === 0
    ) && status.groups.every((group) => group.moving === 0)
  );
  print(
    `took ${removedDataCentre} out of service, ${before} ranges moved: ${
      formatMaximum(pool)
    }`,
  );
  pool.resetMaximum();
  await deployment.roll();
  await waitUntilStable(context);
  print(`returned ${removedDataCentre} to service: ${formatMaximum(pool)}`);
}

/**
 * Restarts the leader with a planned stop; returns how many requests it cut.
 */
async function restartControlLeader(context: DemoContext): Promise<number> {
  const { deployment, pool, print } = context;
  const { leader } = await deployment.status();
  const before = pool.totals.cut;
  pool.resetMaximum();
  await deployment.stopVm(leader);
  await deployment.startVm(leader);
  await deployment.untilReady(leader);
  const cut = pool.totals.cut - before;
  print(
    `restarted ${leader} with a planned stop: ${cut} requests interrupted, ${
      formatMaximum(pool)
    }`,
  );
  return cut;
}

/** Waits until every range has an owner and none moves, then a stable time. */
async function waitUntilStable(context: DemoContext): Promise<void> {
  await context.deployment.until((status) =>
    status.groups.every((group) =>
      group.moving === 0 && group.withoutOwner === 0
    )
  );
  await pause(stableMilliseconds);
}

function formatMaximum(pool: CallerPool): string {
  const { maximumMilliseconds } = pool.totals;
  return `no key unserved for longer than ${
    Math.round(maximumMilliseconds)
  } ms`;
}

function report(context: DemoContext, cutByRestart: number): boolean {
  const { deployment, pool, print } = context;
  const { events } = deployment.history;
  const { totals } = pool;
  const runTwice = countRunTwice(events);
  const violations = checkHistory(events);
  print(
    `requests: sent ${totals.requests}, answered ${totals.answered}, unknown ${totals.unknown}, timed out ${totals.timedOut}, run twice ${runTwice}`,
  );
  print(
    `resent: refused as not run ${totals.notRun}, interrupted by lost VMs ${totals.cut}`,
  );
  if (violations.length > 0) print(formatViolations(violations));
  const succeeded = violations.length === 0 && runTwice === 0 &&
    totals.timedOut === 0 && cutByRestart === 0;
  print(succeeded ? "every invariant held" : "an invariant was violated");
  return succeeded;
}

/** Counts the non-idempotent requests that took effect more than once. */
function countRunTwice(events: readonly TimedEvent[]): number {
  const keys = new Map<string, string>();
  const effects = new Map<string, number>();
  for (const event of events) {
    if (event.kind === "requestSent" && event.idempotencyKey !== "") {
      keys.set(event.request, event.idempotencyKey);
    }
    if (event.kind !== "effect" || event.idempotent) continue;
    const key = keys.get(event.request) ?? event.request;
    effects.set(key, (effects.get(key) ?? 0) + 1);
  }
  return [...effects.values()].filter((count) => count > 1).length;
}
