import { setTimeout as pause } from "node:timers/promises";
import type { TimedEvent } from "@kingcupglade/fakes";
import { BundleRoller } from "./bundle_roller.ts";
import { Deployment } from "./deployment.ts";
import { disturbanceLanes } from "./disturbances.ts";
import type { Disturbance } from "./disturbance.ts";
import { hsinchu } from "./hsinchu.ts";
import { RandomSource } from "./random_source.ts";

const keyCount = 200;
const maximumSends = 6;
const resendPauseMilliseconds = 150;
const duplicateProbability = 0.1;
const meanPauseMilliseconds = 250;
const settlingMilliseconds = 1500;

/** Options of {@link runAtMostOnce}. */
export interface AtMostOnceOptions {
  readonly seed: number;
  readonly requests: number;
  /** @default 64 */
  readonly callers?: number;
  /** Whether all sends of a request share an Idempotency-Key. */
  readonly withLedger: boolean;
}

/** Counts of a run. */
export interface AtMostOnceResult {
  readonly requests: number;
  readonly sendings: number;
  readonly runTwice: number;
  /** Answered requests without an effect at any target. */
  readonly lost: number;
  /**
   * Requests with a send reported as `not-run` although it, or with a ledger an
   * earlier send, took effect.
   */
  readonly falseNotRun: number;
  /** Unanswered requests whose last response was `unknown` or missing. */
  readonly unknown: number;
  /** Number of unknown requests by their last reason. */
  readonly unknownReasons: Readonly<Record<string, number>>;
  readonly disturbances: number;
}

interface SendResult {
  readonly request: string;
  readonly outcome: string;
  readonly reason: string;
}

/**
 * Sends reservations through several VMs while VMs and targets crash, freeze
 * and leave, and resends each reservation until it is answered, in up to six
 * attempts.
 */
export async function runAtMostOnce(
  options: AtMostOnceOptions,
): Promise<AtMostOnceResult> {
  const deployment = await Deployment.start(hsinchu);
  try {
    const roller = new BundleRoller(deployment, hsinchu.dataCentres);
    await roller.roll(deployment.vmNames);
    await addTargets(deployment);
    const unready = new Set<string>();
    let finished = false;
    const lanes = [disturbanceLanes.targets, disturbanceLanes.vms].map(
      (lane, index) =>
        runLane(lane, {
          deployment,
          roller,
          unready,
          random: new RandomSource(options.seed * 100 + index),
          isFinished: () => finished,
        }),
    );
    const operations = await sendAll(options, { deployment, unready });
    finished = true;
    const counts = await Promise.all(lanes);
    await pause(settlingMilliseconds);
    return {
      ...summarize(operations, { options, events: deployment.history.events }),
      disturbances: counts.reduce((sum, each) => sum + each, 0),
    };
  } finally {
    await deployment.stop();
  }
}

async function addTargets(deployment: Deployment): Promise<void> {
  for (let index = 0; index < 12; index += 1) {
    await deployment.addTarget({
      name: `fixture-${index + 1}`,
      service: "fixture-stock",
      dataCentre: hsinchu.dataCentres[index % 6]!.name,
      serviceMilliseconds: 3,
    });
  }
  await deployment.until((status) =>
    status.targets.length === 12 &&
    status.groups.every((group) => group.withoutOwner === 0)
  );
}

async function runLane(
  lane: readonly Disturbance[],
  run: {
    readonly deployment: Deployment;
    readonly roller: BundleRoller;
    readonly unready: Set<string>;
    readonly random: RandomSource;
    readonly isFinished: () => boolean;
  },
): Promise<number> {
  let count = 0;
  while (!run.isFinished()) {
    await run.random.pick(lane).run({
      ...run,
      dataCentres: hsinchu.dataCentres,
      targets: [...run.deployment.targets.keys()],
    });
    count += 1;
    await pause(run.random.integer(50, 500));
  }
  return count;
}

async function sendAll(
  options: AtMostOnceOptions,
  run: {
    readonly deployment: Deployment;
    readonly unready: ReadonlySet<string>;
  },
): Promise<readonly (readonly SendResult[])[]> {
  const operations: Promise<readonly SendResult[]>[] = [];
  let next = 0;
  const runCaller = async (index: number) => {
    const random = new RandomSource(options.seed * 1000 + index);
    while (next < options.requests) {
      const operation = next++;
      const sent = sendUntilAnswered(operation, { ...run, random, options });
      operations.push(sent);
      await sent;
      await pause(random.exponential(meanPauseMilliseconds));
    }
  };
  const { callers = 64 } = options;
  await Promise.all(
    Array.from({ length: callers }, (_, index) => runCaller(index)),
  );
  return await Promise.all(operations);
}

async function sendUntilAnswered(
  operation: number,
  context: {
    readonly deployment: Deployment;
    readonly unready: ReadonlySet<string>;
    readonly random: RandomSource;
    readonly options: AtMostOnceOptions;
  },
): Promise<readonly SendResult[]> {
  const { deployment, unready, random, options } = context;
  const key = `clamp-${random.integer(1, keyCount)}`;
  const sent: SendResult[] = [];
  const send = async () => {
    const ready = deployment.vmNames.filter((vm) => !unready.has(vm));
    sent.push(
      await deployment.caller.send({
        vm: deployment.callersAddress(random.pick(ready)),
        method: "POST",
        path: `/fixtures/${key}`,
        tenant: "toolroom",
        key,
        ...(options.withLedger
          ? { idempotencyKey: `reservation-${operation}` }
          : {}),
      }),
    );
  };
  for (let attempt = 0; attempt < maximumSends; attempt += 1) {
    const isSentTwice = options.withLedger &&
      random.number() < duplicateProbability;
    await Promise.all(isSentTwice ? [send(), send()] : [send()]);
    if (sent.some((each) => each.outcome === "answered")) break;
    await pause(resendPauseMilliseconds * random.integer(1, 3));
  }
  return sent;
}

function summarize(
  operations: readonly (readonly SendResult[])[],
  run: {
    readonly options: AtMostOnceOptions;
    readonly events: readonly TimedEvent[];
  },
): Omit<AtMostOnceResult, "disturbances"> {
  const { options, events } = run;
  const effects = new Map<string, number>();
  for (const event of events) {
    if (event.kind !== "effect") continue;
    effects.set(event.request, (effects.get(event.request) ?? 0) + 1);
  }
  const effectsOf = (sent: readonly SendResult[]) =>
    sent.reduce((sum, each) => sum + (effects.get(each.request) ?? 0), 0);
  const isAnswered = (sent: readonly SendResult[]) =>
    sent.some((each) => each.outcome === "answered");
  const unknown = operations.filter((sent) =>
    !isAnswered(sent) && sent.at(-1)?.outcome !== "not-run"
  );
  return {
    requests: operations.length,
    sendings: operations.reduce((sum, sent) => sum + sent.length, 0),
    runTwice: operations.filter((sent) => effectsOf(sent) > 1).length,
    lost: operations.filter((sent) => isAnswered(sent) && effectsOf(sent) === 0)
      .length,
    falseNotRun:
      operations.filter((sent) =>
        sent.some((each, index) =>
          each.outcome === "not-run" &&
          effectsOf(options.withLedger ? sent.slice(0, index + 1) : [each]) > 0
        )
      ).length,
    unknown: unknown.length,
    unknownReasons: countReasons(unknown),
  };
}

function countReasons(
  operations: readonly (readonly SendResult[])[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const sent of operations) {
    const reason = sent.at(-1)!.reason;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}
