import { Counter, Histogram } from "prom-client";
import type { MetricValueWithName, Registry } from "prom-client";

type SeriesLabel = "service" | "tenant" | "class";

/** Labels of the requests that are counted together. */
export type SeriesLabels = Readonly<Record<SeriesLabel, string>>;

/** Counts and times of the requests of one service, tenant and class. */
export class RequestSeries {
  readonly labels: SeriesLabels;
  readonly outcomes = new Map<string, number>();
  /** Requests in each bucket, and at last those above every bound. */
  readonly buckets: number[];
  sumSeconds = 0;
  readonly #bounds: readonly number[];

  constructor(labels: SeriesLabels, bounds: readonly number[]) {
    this.labels = labels;
    this.#bounds = bounds;
    this.buckets = new Array(bounds.length + 1).fill(0);
  }

  /** Notes a request that ended. */
  note(outcome: string, seconds: number): void {
    let bucket = 0;
    while (seconds > (this.#bounds[bucket] ?? Infinity)) bucket += 1;
    this.buckets[bucket]! += 1;
    this.sumSeconds += seconds;
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }
}

/** Options of {@link RequestMetrics}. */
export interface RequestMetricsOptions {
  readonly registry: Registry;
  /** Upper bounds of the histogram's buckets, ascending. */
  readonly boundsSeconds: readonly number[];
}

/**
 * Requests by outcome and their times. The library looks labels up and checks
 * them for each value; here that is done once, when they are read.
 */
export class RequestMetrics {
  readonly #boundsSeconds: readonly number[];
  readonly #series = new Map<string, Map<string, Map<string, RequestSeries>>>();

  constructor(options: RequestMetricsOptions) {
    const { registry, boundsSeconds } = options;
    const registers = [registry];
    this.#boundsSeconds = boundsSeconds;
    new SeriesHistogram({
      name: "kingcupglade_request_seconds",
      help: "Time from arrival to the end of the answer",
      labelNames: ["service", "tenant", "class"],
      buckets: [...boundsSeconds],
      registers,
    }, () => this.all());
    const all = () => this.all();
    new Counter({
      name: "kingcupglade_requests_total",
      help: "Requests ended",
      labelNames: ["service", "tenant", "class", "outcome"],
      registers,
      collect() {
        this.reset();
        for (const { labels, outcomes } of all()) {
          for (const [outcome, count] of outcomes) {
            this.inc({ ...labels, outcome }, count);
          }
        }
      },
    });
  }

  /** The series of a service, tenant and class. */
  of(labels: SeriesLabels): RequestSeries {
    const byTenant = innerMap(this.#series, labels.service);
    const byClass = innerMap(byTenant, labels.tenant);
    const known = byClass.get(labels.class);
    if (known) return known;
    const { service, tenant } = labels;
    const series = new RequestSeries(
      { service, tenant, class: labels.class },
      this.#boundsSeconds,
    );
    byClass.set(labels.class, series);
    return series;
  }

  /** Every series. */
  *all(): Iterable<RequestSeries> {
    for (const byTenant of this.#series.values()) {
      for (const byClass of byTenant.values()) yield* byClass.values();
    }
  }
}

interface SeriesValues {
  readonly name: string;
  readonly help: string;
  readonly type: "histogram";
  readonly aggregator: "sum";
  values: MetricValueWithName<SeriesLabel>[];
}

class SeriesHistogram extends Histogram<SeriesLabel> {
  readonly #name: string;
  readonly #help: string;
  readonly #bounds: readonly number[];
  readonly #all: () => Iterable<RequestSeries>;

  constructor(
    configuration: ConstructorParameters<typeof Histogram<SeriesLabel>>[0],
    all: () => Iterable<RequestSeries>,
  ) {
    super(configuration);
    this.#name = configuration.name;
    this.#help = configuration.help;
    this.#bounds = configuration.buckets ?? [];
    this.#all = all;
  }

  /** What the registry reads, and what `get` of the library is made of. */
  getForPromString(): Promise<SeriesValues> {
    return Promise.resolve({
      name: this.#name,
      help: this.#help,
      type: "histogram",
      aggregator: "sum",
      values: [...this.#all()].flatMap((each) => this.#valuesOf(each)),
    });
  }

  #valuesOf(
    { labels, buckets, sumSeconds }: RequestSeries,
  ): MetricValueWithName<SeriesLabel>[] {
    let count = 0;
    const cumulative = buckets.map((value, index) => ({
      metricName: `${this.#name}_bucket`,
      labels: { le: this.#bounds[index] ?? "+Inf", ...labels },
      value: count += value,
    }));
    return [
      ...cumulative,
      { metricName: `${this.#name}_sum`, labels, value: sumSeconds },
      { metricName: `${this.#name}_count`, labels, value: count },
    ];
  }
}

function innerMap<Value>(
  map: Map<string, Map<string, Value>>,
  key: string,
): Map<string, Value> {
  const known = map.get(key);
  if (known) return known;
  const created = new Map<string, Value>();
  map.set(key, created);
  return created;
}
