import { setTimeout as pause } from "node:timers/promises";
import { checkHistory } from "@kingcupglade/checker";
import type { Violation } from "@kingcupglade/checker";
import type { TimedEvent } from "@kingcupglade/fakes";
import { BundleRoller } from "./bundle_roller.ts";
import { Deployment } from "./deployment.ts";
import { disturbanceLanes } from "./disturbances.ts";
import type { Disturbance, DisturbanceContext } from "./disturbance.ts";
import { hsinchu } from "./hsinchu.ts";
import { RandomSource } from "./random_source.ts";
import { runCaller } from "./random_caller.ts";

const observeMilliseconds = 25;
const observeClaimsMilliseconds = 500;
const stallThresholdMilliseconds = 100;
const callerCount = 8;
/** First random stream of the callers; lower streams belong to the lanes. */
const firstCallerStream = 100;

/** Options of {@link runHistory}. */
export interface HistoryRunOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Lanes of disturbances, by name. @default {@link disturbanceLanes} */
  readonly lanes?: Readonly<Record<string, readonly Disturbance[]>>;
  /** Additional settings of the control section. */
  readonly control?: Readonly<Record<string, number>>;
  /** Whether callers resend requests with an Idempotency-Key. @default true */
  readonly resends?: boolean;
}

/** Result of a run. */
export interface HistoryRun {
  readonly events: readonly TimedEvent[];
  readonly violations: readonly Violation[];
  /** Number of disturbances by name. */
  readonly disturbances: ReadonlyMap<string, number>;
  /** Number of responses by outcome. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Whether every range had an owner again after the last disturbance. */
  readonly hasRecovered: boolean;
}

/**
 * Runs nine VMs with callers and disturbances chosen by a seed, and checks the
 * recorded history.
 */
export async function runHistory(
  options: HistoryRunOptions,
): Promise<HistoryRun> {
  const deployment = await Deployment.start({
    ...hsinchu,
    control: { ...options.control },
    withLinks: true,
  });
  const observer = startObserver(deployment);
  try {
    const roller = new BundleRoller(deployment, hsinchu.dataCentres);
    await roller.roll(deployment.vmNames);
    await addTargets(deployment);
    const unready = new Set<string>();
    const disturbances = new Map<string, number>();
    const until = performance.now() + options.seconds * 1000;
    await Promise.all([
      ...runLanes({
        options,
        deployment,
        roller,
        unready,
        disturbances,
        until,
      }),
      ...Array.from({ length: callerCount }, (_, index) =>
        runCaller({
          deployment,
          random: RandomSource.ofStream(
            options.seed,
            firstCallerStream + index,
          ),
          unready,
          until,
          resends: options.resends ?? true,
        })),
    ]);
    const recovered = await waitUntilServing(deployment);
    const { events } = deployment.history;
    return {
      events,
      violations: checkHistory(events),
      disturbances,
      outcomes: countOutcomes(events),
      hasRecovered: recovered,
    };
  } finally {
    clearInterval(observer);
    await deployment.stop();
  }
}

function runLanes(run: {
  readonly options: HistoryRunOptions;
  readonly deployment: Deployment;
  readonly roller: BundleRoller;
  readonly unready: Set<string>;
  readonly disturbances: Map<string, number>;
  readonly until: number;
}): readonly Promise<void>[] {
  const { options, deployment, roller, unready } = run;
  const names = [...deployment.targets.keys()];
  const lanes = Object.values(options.lanes ?? disturbanceLanes);
  return lanes.map((lane, index) =>
    runLane(lane, {
      ...run,
      context: {
        deployment,
        roller,
        unready,
        dataCentres: hsinchu.dataCentres,
        random: RandomSource.ofStream(options.seed, index),
        targets: names.filter((_, position) =>
          position % lanes.length === index
        ),
      },
    })
  );
}

async function runLane(
  lane: readonly Disturbance[],
  run: {
    readonly context: DisturbanceContext;
    readonly disturbances: Map<string, number>;
    readonly until: number;
  },
): Promise<void> {
  const { context, disturbances, until } = run;
  while (performance.now() < until) {
    const disturbance = context.random.pick(lane);
    await disturbance.run(context);
    const count = disturbances.get(disturbance.name) ?? 0;
    disturbances.set(disturbance.name, count + 1);
    await pause(
      context.random.integer(50, disturbance.maximumIntervalMilliseconds),
    );
  }
}

async function addTargets(deployment: Deployment): Promise<void> {
  for (const service of ["fixture-stock", "jig-catalogue"]) {
    for (const [index, { name }] of hsinchu.dataCentres.entries()) {
      await deployment.addTarget({
        name: `${service}-${index + 1}`,
        service,
        dataCentre: name,
        serviceMilliseconds: 5,
      });
    }
  }
  await waitUntilServing(deployment);
}

function waitUntilServing(deployment: Deployment): Promise<boolean> {
  return deployment.until((status) =>
    status.targets.length === deployment.targets.size &&
    status.groups.every((group) =>
      group.withoutOwner === 0 && group.moving === 0
    )
  ).then(() => true, () => false);
}

/** Periodically records bundles, claims and stalls of this process. */
function startObserver(deployment: Deployment): NodeJS.Timeout {
  let last = performance.now();
  let claimsDueAt = last;
  return setInterval(() => {
    const now = performance.now();
    const milliseconds = now - last - observeMilliseconds;
    last = now;
    if (milliseconds > stallThresholdMilliseconds) {
      deployment.history.record({ kind: "stalled", milliseconds });
    }
    deployment.recordTables();
    if (now < claimsDueAt) return;
    claimsDueAt = now + observeClaimsMilliseconds;
    deployment.recordClaims();
  }, observeMilliseconds);
}

function countOutcomes(
  events: readonly TimedEvent[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const event of events) {
    if (event.kind !== "responseReceived") continue;
    const outcome = event.outcome || "no answer";
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return counts;
}
