import type {
  HedgePolicy,
  Refusal,
  TargetChanged,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import { ResponseRace } from "./response_race.ts";
import type { CallerRequest } from "./attempts.ts";
import type { Destination } from "./destination.ts";
import type { ExchangeResult } from "./exchange_types.ts";

type AttemptResult = ExchangeResult | Refusal | TargetChanged;

/** Options of a {@link HedgedExchange}. */
export interface HedgedExchangeOptions {
  readonly clock: Clock;
  readonly policy: HedgePolicy;
  /** Performs one exchange. */
  readonly exchange: (
    caller: CallerRequest,
    destination: Destination,
  ) => Promise<AttemptResult>;
  /** Chooses another target that can accept the request immediately. */
  readonly chooseAlternative: (
    caller: CallerRequest,
    first: Destination,
  ) => Destination | undefined;
  /** Called when a request is sent to a second target. */
  readonly onHedge: () => void;
}

/** Sends a request to a second target when the first responds late. */
export class HedgedExchange {
  readonly #options: HedgedExchangeOptions;

  constructor(options: HedgedExchangeOptions) {
    this.#options = options;
  }

  /** Whether a request may run at two targets. */
  static isHedgeable(caller: CallerRequest): boolean {
    return caller.matched.isIdempotent && caller.matched.key === undefined &&
      caller.body.buffer !== undefined;
  }

  /**
   * Returns the result of the exchange whose response was passed on. If there
   * is none, returns an unknown result if there is one, else the last result.
   */
  run(caller: CallerRequest, first: Destination): Promise<AttemptResult> {
    const { clock, policy } = this.#options;
    const { service } = caller.matched;
    const startedAt = clock.now();
    const delayMilliseconds = policy.begin(service);
    const race = new ResponseRace(caller.sink);
    return new Promise((resolve, reject) => {
      let activeCount = 0;
      let unknown: AttemptResult | undefined;
      const start = (destination: Destination) => {
        activeCount += 1;
        this.#options.exchange({ ...caller, sink: race.addSink() }, destination)
          .then((result) => {
            activeCount -= 1;
            if (result.kind === "unknown") unknown = result;
            const isFinal = result.kind === "answered" ||
              result.kind === "truncated";
            if (!isFinal && activeCount > 0) return;
            clearTimeout(timer);
            policy.recordDuration(service, clock.now() - startedAt);
            // If the request may have run at either target, its outcome is
            // unknown.
            resolve(isFinal ? result : unknown ?? result);
          }, reject);
      };
      const timer = delayMilliseconds === undefined ? undefined : setTimeout(
        () => this.#hedge(race, { caller, first, start }),
        delayMilliseconds,
      );
      start(first);
    });
  }

  #hedge(
    race: ResponseRace,
    request: {
      readonly caller: CallerRequest;
      readonly first: Destination;
      readonly start: (destination: Destination) => void;
    },
  ): void {
    const { policy, chooseAlternative, onHedge } = this.#options;
    if (race.isDecided || race.sink.isClosed) return;
    const alternative = chooseAlternative(request.caller, request.first);
    if (!alternative || !policy.take()) return;
    onHedge();
    request.start(alternative);
  }
}
