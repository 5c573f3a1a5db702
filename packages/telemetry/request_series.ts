import { Counter, Histogram } from "prom-client";
import type { Registry } from "prom-client";

type SeriesLabel = "service" | "tenant" | "class";

/** Labels of one time series. */
export type SeriesLabels = Readonly<Record<SeriesLabel, string>>;

type OutcomeCounter = Counter<SeriesLabel | "outcome">;

/** Counts and durations of the requests of one service, tenant and class. */
export class RequestSeries {
  readonly #labels: SeriesLabels;
  readonly #counter: OutcomeCounter;
  readonly #outcomeCounters = new Map<string, Counter.Internal>();
  readonly #durations: Histogram.Internal<SeriesLabel>;

  constructor(labels: SeriesLabels, source: {
    readonly counter: OutcomeCounter;
    readonly histogram: Histogram<SeriesLabel>;
  }) {
    this.#labels = labels;
    this.#counter = source.counter;
    this.#durations = source.histogram.labels(labels);
  }

  /** Records a finished request. */
  observe(outcome: string, seconds: number): void {
    this.#durations.observe(seconds);
    this.#counterFor(outcome).inc();
  }

  #counterFor(outcome: string): Counter.Internal {
    const known = this.#outcomeCounters.get(outcome);
    if (known) return known;
    const outcomeCounter = this.#counter.labels({ ...this.#labels, outcome });
    this.#outcomeCounters.set(outcome, outcomeCounter);
    return outcomeCounter;
  }
}

/** Options of {@link RequestMetrics}. */
export interface RequestMetricsOptions {
  readonly registry: Registry;
  /** Upper bounds of the buckets of the duration histogram, ascending. */
  readonly bucketBoundsSeconds: readonly number[];
}

/** Metrics of requests, by outcome; looks each series up only once. */
export class RequestMetrics {
  readonly #histogram: Histogram<SeriesLabel>;
  readonly #counter: OutcomeCounter;
  readonly #series = new Map<string, Map<string, Map<string, RequestSeries>>>();

  constructor(options: RequestMetricsOptions) {
    const registers = [options.registry];
    this.#histogram = new Histogram({
      name: "kingcupglade_request_seconds",
      help: "Time from arrival to the end of the answer",
      labelNames: ["service", "tenant", "class"],
      buckets: [...options.bucketBoundsSeconds],
      registers,
    });
    this.#counter = new Counter({
      name: "kingcupglade_requests_total",
      help: "Requests ended",
      labelNames: ["service", "tenant", "class", "outcome"],
      registers,
    });
  }

  /** Returns the series of a service, tenant and class; creates it on first use. */
  seriesFor(labels: SeriesLabels): RequestSeries {
    const byTenant = getOrCreateInnerMap(this.#series, labels.service);
    const byClass = getOrCreateInnerMap(byTenant, labels.tenant);
    const known = byClass.get(labels.class);
    if (known) return known;
    const series = new RequestSeries(labels, {
      counter: this.#counter,
      histogram: this.#histogram,
    });
    byClass.set(labels.class, series);
    return series;
  }
}

function getOrCreateInnerMap<Value>(
  map: Map<string, Map<string, Value>>,
  key: string,
): Map<string, Value> {
  const known = map.get(key);
  if (known) return known;
  const created = new Map<string, Value>();
  map.set(key, created);
  return created;
}
