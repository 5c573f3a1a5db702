/** A request that presents a key, or none, as its caller sent it. */
export interface KeyedRequest {
  readonly id: string;
  /** Name of the gateway that it is sent to. */
  readonly gateway: string;
  /** The key; undefined if it presents none in a form that counts as one. */
  readonly key: string | undefined;
  /** Whether its route needs no key. */
  readonly isPublic: boolean;
  readonly sentAt: number;
}

/** What a target received of such a request. */
export interface KeyedArrival {
  readonly target: string;
  readonly path: string;
  /** Names and values of headers and trailers in turn. */
  readonly fields: readonly string[];
}

/** How such a request ended for its caller. */
export interface KeyedOutcome {
  readonly endedAt: number;
  /** 0 without a response. */
  readonly status: number;
}
