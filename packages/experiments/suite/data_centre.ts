import { eventsOf } from "@kingcupglade/checker";
import type { Experiment } from "../experiment.ts";
import { outcomeShare } from "../load.ts";
import { linePlot } from "../plot.ts";
import { startSharedService } from "../shared_service_run.ts";
import type { SharedService } from "../shared_service_run.ts";
import { tavares } from "../tavares.ts";

const dataCentre = "recife-a";
const load = { perSecond: 300, seconds: 15 } as const;
const serviceMilliseconds = 20;
const removalAtMilliseconds = 3000;
const returnAtMilliseconds = 9000;
const coldPeriodMilliseconds = 2000;
const drainLimitMilliseconds = 3000;
const bucketMilliseconds = 250;
const microsecondsPerMillisecond = 1000;

/** Takes a data centre out under load and returns its targets cold. */
export const dataCentreExperiment: Experiment = {
  summary:
    "availability while a data centre is taken out and returns with cold targets",
  async run({ seed, progress }) {
    const service = await startSharedService({
      serviceMilliseconds,
      policy: () => ({ seed }),
    });
    try {
      const startedAt = performance.now();
      const baseline = await service.load({ ...load, seconds: 5, seed });
      progress("baseline measured");
      const loadStartedAt = performance.now();
      const move = takeOutAndReturn(service);
      const result = await service.load({ ...load, seed });
      const { removedAt, returnedAt } = await move;
      const started = eventsOf(service.deployment.history.events, "started");
      const startedInside = started.filter((each) =>
        each.dataCentre === dataCentre
      );
      const startedLate = startedInside.filter((each) =>
        each.at > removedAt + drainLimitMilliseconds && each.at < returnedAt
      );
      const lastStarted = startedInside.findLast((each) =>
        each.at > removedAt && each.at < returnedAt
      );
      const p99 = (from: typeof result) =>
        (from.latency.get("answered")?.getValueAtPercentile(99) ?? 0) /
        microsecondsPerMillisecond;
      const startedAboveLimit = started.filter((each) =>
        each.at > startedAt && each.inProgress > each.limit
      ).length;
      return {
        figures: [
          {
            name: "requests not answered",
            value: result.sent * (1 - outcomeShare(result, "answered")),
            unit: "requests",
            target: { atMost: 0 },
          },
          {
            name: "begun in the data centre later than 3 s after the roll",
            value: startedLate.length,
            unit: "requests",
            target: { atMost: 0 },
          },
          {
            name: "last begun there after the roll was accepted",
            value: lastStarted ? lastStarted.at - removedAt : 0,
            unit: "ms",
          },
          {
            name: "begun above what a target bears",
            value: startedAboveLimit,
            unit: "requests",
            target: { atMost: 0 },
          },
          {
            name: "p99 during the move",
            value: p99(result),
            unit: "ms",
            baseline: p99(baseline),
          },
        ],
        plots: {
          "data-centre.svg": linePlot({
            title: `Requests begun in ${dataCentre} and elsewhere`,
            x: "seconds",
            y: `requests in ${bucketMilliseconds} ms`,
            series: [
              startRateSeries(dataCentre, startedInside, loadStartedAt),
              startRateSeries(
                "elsewhere",
                started.filter((each) =>
                  each.dataCentre !== dataCentre
                ),
                loadStartedAt,
              ),
            ],
          }),
        },
      };
    } finally {
      await service.stop();
    }
  },
};

async function takeOutAndReturn(
  service: SharedService,
): Promise<{ readonly removedAt: number; readonly returnedAt: number }> {
  const { deployment } = service;
  const targets = [...deployment.targets.values()].filter((target) =>
    target.dataCentre === dataCentre
  );
  const startedAt = performance.now();
  await pauseUntil(startedAt + removalAtMilliseconds);
  await deployment.roll({
    dataCentres: tavares.dataCentres.map((each) => ({
      ...each,
      inService: each.name !== dataCentre,
    })),
  });
  const removedAt = performance.now();
  await pauseUntil(startedAt + returnAtMilliseconds - bucketMilliseconds);
  for (const target of targets) target.condition = "cold";
  await Promise.all(targets.map((target) => target.announceNow()));
  await pauseUntil(startedAt + returnAtMilliseconds);
  const returnedAt = performance.now();
  await deployment.roll();
  await pauseUntil(startedAt + returnAtMilliseconds + coldPeriodMilliseconds);
  for (const target of targets) target.condition = "serving";
  return { removedAt, returnedAt };
}

function startRateSeries(
  name: string,
  events: readonly { readonly at: number }[],
  startedAt: number,
) {
  const buckets = Math.ceil(load.seconds * 1000 / bucketMilliseconds);
  const counts = new Array<number>(buckets).fill(0);
  for (const { at } of events) {
    const bucket = Math.floor((at - startedAt) / bucketMilliseconds);
    if (bucket >= 0 && bucket < buckets) counts[bucket]! += 1;
  }
  return {
    name,
    points: counts.map((y, index) => ({
      x: index * bucketMilliseconds / 1000,
      y,
    })),
  };
}

function pauseUntil(at: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, at - performance.now()))
  );
}
