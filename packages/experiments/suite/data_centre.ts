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
const outAtMilliseconds = 3000;
const backAtMilliseconds = 9000;
const coldMilliseconds = 2000;
const noNewWorkMilliseconds = 3000;
const bucketMilliseconds = 250;
const microsecondsPerMillisecond = 1000;

/** Takes a data centre out and brings its targets back cold, under load. */
export const dataCentreExperiment: Experiment = {
  summary: "service while a data centre leaves and returns with cold targets",
  async run({ seed, progress }) {
    const service = await startSharedService({
      serviceMilliseconds,
      policy: () => ({ seed }),
    });
    try {
      const startedAt = performance.now();
      const still = await service.load({ ...load, seconds: 5, seed });
      progress("baseline measured");
      const movedAt = performance.now();
      const moves = moveOutAndBack(service);
      const result = await service.load({ ...load, seed });
      const { outAt, backAt } = await moves;
      const started = eventsOf(service.deployment.history.events, "started");
      const inside = started.filter((each) => each.dataCentre === dataCentre);
      const late = inside.filter((each) =>
        each.at > outAt + noNewWorkMilliseconds && each.at < backAt
      );
      const last = inside.findLast((each) =>
        each.at > outAt && each.at < backAt
      );
      const p99 = (from: typeof result) =>
        (from.latency.get("answered")?.getValueAtPercentile(99) ?? 0) /
        microsecondsPerMillisecond;
      const aboveLimit = started.filter((each) =>
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
            value: late.length,
            unit: "requests",
            target: { atMost: 0 },
          },
          {
            name: "last begun there after the roll was accepted",
            value: last ? last.at - outAt : 0,
            unit: "ms",
          },
          {
            name: "begun above what a target bears",
            value: aboveLimit,
            unit: "requests",
            target: { atMost: 0 },
          },
          {
            name: "p99 during the move",
            value: p99(result),
            unit: "ms",
            baseline: p99(still),
          },
        ],
        plots: {
          "data-centre.svg": linePlot({
            title: `Requests begun in ${dataCentre} and elsewhere`,
            x: "seconds",
            y: `requests in ${bucketMilliseconds} ms`,
            series: [
              series(dataCentre, inside, movedAt),
              series(
                "elsewhere",
                started.filter((each) =>
                  each.dataCentre !== dataCentre
                ),
                movedAt,
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

async function moveOutAndBack(
  service: SharedService,
): Promise<{ readonly outAt: number; readonly backAt: number }> {
  const { deployment } = service;
  const inside = [...deployment.targets.values()].filter((target) =>
    target.dataCentre === dataCentre
  );
  const startedAt = performance.now();
  await pauseUntil(startedAt + outAtMilliseconds);
  await deployment.roll({
    dataCentres: tavares.dataCentres.map((each) => ({
      ...each,
      inService: each.name !== dataCentre,
    })),
  });
  const outAt = performance.now();
  await pauseUntil(startedAt + backAtMilliseconds - bucketMilliseconds);
  for (const target of inside) target.condition = "cold";
  await Promise.all(inside.map((target) => target.announceNow()));
  await pauseUntil(startedAt + backAtMilliseconds);
  const backAt = performance.now();
  await deployment.roll();
  await pauseUntil(startedAt + backAtMilliseconds + coldMilliseconds);
  for (const target of inside) target.condition = "serving";
  return { outAt, backAt };
}

function series(
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
