/** Weight of the latest response in the moving averages of a route. */
const meanWeight = 0.1;
/**
 * Weights of a response above and below the upper estimate, which settles where
 * about one response in ten is larger.
 */
const upperRiseWeight = 0.3;
const upperFallWeight = 0.03;
/** Routes of which a profile is kept; the one unused for longest goes first. */
const maximumRoutes = 1000;

/** What is expected of the responses of a route. */
export interface RouteProfile {
  /** Mean size of a response, in bytes. */
  readonly meanBytes: number;
  /** Size that few responses exceed, in bytes. */
  readonly upperBytes: number;
  /** Mean time from sending a request until its head arrives. */
  readonly headMilliseconds: number;
}

const unknownProfile: RouteProfile = {
  meanBytes: 0,
  upperBytes: 0,
  headMilliseconds: 0,
};

/** Learns the sizes of responses by route; the first response teaches them. */
export class RouteProfiles {
  readonly #profiles = new Map<string, RouteProfile>();

  /** Returns the profile of a route; all zero before its first response. */
  of(route: string): RouteProfile {
    return this.#profiles.get(route) ?? unknownProfile;
  }

  /** Records the size of a response and the time until its head arrived. */
  record(
    route: string,
    response: { readonly bytes: number; readonly headMilliseconds: number },
  ): void {
    const { bytes, headMilliseconds } = response;
    const known = this.#profiles.get(route);
    const profile = known
      ? {
        meanBytes: moved(known.meanBytes, bytes, meanWeight),
        upperBytes: moved(
          known.upperBytes,
          bytes,
          bytes > known.upperBytes ? upperRiseWeight : upperFallWeight,
        ),
        headMilliseconds: moved(
          known.headMilliseconds,
          headMilliseconds,
          meanWeight,
        ),
      }
      : { meanBytes: bytes, upperBytes: bytes, headMilliseconds };
    this.#profiles.delete(route);
    this.#profiles.set(route, profile);
    if (this.#profiles.size <= maximumRoutes) return;
    const [oldest] = this.#profiles.keys();
    this.#profiles.delete(oldest!);
  }
}

function moved(from: number, to: number, weight: number): number {
  return from + (to - from) * weight;
}
