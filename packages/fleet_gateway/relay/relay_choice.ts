import type { VmEndpoint } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";

/** A gateway that failed is left alone for this long; doubled each time. */
const initialPauseMilliseconds = 500;
const maximumPauseMilliseconds = 4000;

/** Options of a {@link RelayChoice}. */
export interface RelayChoiceOptions {
  /** Name of this gateway, which is never chosen. */
  readonly name: string;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Returns the gateways that may be chosen. */
  readonly gateways: () => readonly VmEndpoint[];
  readonly clock: Clock;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
}

interface Observations {
  inFlight: number;
  pauseMilliseconds: number;
  pausedUntil: number;
}

/** Chooses the gateway that takes a request which this one cannot serve. */
export class RelayChoice {
  readonly #options: RelayChoiceOptions;
  readonly #observations = new Map<string, Observations>();

  constructor(options: RelayChoiceOptions) {
    this.#options = options;
  }

  /** Whether there is a gateway that has not failed recently. */
  get hasCandidates(): boolean {
    return this.#candidates({ homeRegions: [], excluded: new Set() })
      .length > 0;
  }

  /**
   * Returns the next gateway: of this region if possible, and of two random ones
   * that with fewer requests of this gateway. Returns undefined if there is
   * none.
   */
  next(criteria: {
    /** Regions that may serve the request; empty for all. */
    readonly homeRegions: readonly string[];
    /** Names of gateways that the request was sent to. */
    readonly excluded: ReadonlySet<string>;
  }): VmEndpoint | undefined {
    const { region, regions } = this.#options;
    const candidates = this.#candidates(criteria);
    const near = candidates.filter(({ dataCentre }) =>
      regions[dataCentre] === region
    );
    return this.#lessLoaded(near.length > 0 ? near : candidates);
  }

  /** Records that a request is sent to a gateway. */
  begin({ name }: VmEndpoint): void {
    this.#observationsOf(name).inFlight += 1;
  }

  /** Records how the request ended. */
  end({ name }: VmEndpoint, isUsable: boolean): void {
    const observations = this.#observationsOf(name);
    observations.inFlight -= 1;
    if (isUsable) {
      observations.pauseMilliseconds = initialPauseMilliseconds;
      return;
    }
    const now = this.#options.clock.now();
    // Requests that were sent at the same time fail at the same time.
    if (now < observations.pausedUntil) return;
    observations.pausedUntil = now + observations.pauseMilliseconds;
    observations.pauseMilliseconds = Math.min(
      maximumPauseMilliseconds,
      observations.pauseMilliseconds * 2,
    );
  }

  #candidates({ homeRegions, excluded }: {
    readonly homeRegions: readonly string[];
    readonly excluded: ReadonlySet<string>;
  }): readonly VmEndpoint[] {
    const { name: self, regions, gateways, clock } = this.#options;
    const now = clock.now();
    return gateways().filter(({ name, dataCentre }) =>
      name !== self && !excluded.has(name) &&
      (homeRegions.length === 0 ||
        homeRegions.includes(regions[dataCentre] ?? "")) &&
      now >= (this.#observations.get(name)?.pausedUntil ?? -Infinity)
    );
  }

  #lessLoaded(candidates: readonly VmEndpoint[]): VmEndpoint | undefined {
    const { random } = this.#options;
    const pick = () => candidates[Math.floor(random() * candidates.length)];
    const [first, second] = [pick(), pick()];
    if (!first || !second) return first;
    const load = ({ name }: VmEndpoint) =>
      this.#observations.get(name)?.inFlight ?? 0;
    return load(second) < load(first) ? second : first;
  }

  #observationsOf(name: string): Observations {
    const known = this.#observations.get(name);
    if (known) return known;
    const created = {
      inFlight: 0,
      pauseMilliseconds: initialPauseMilliseconds,
      pausedUntil: -Infinity,
    };
    this.#observations.set(name, created);
    return created;
  }
}
