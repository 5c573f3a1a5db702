/** A service that receives a weighted part of a route's requests. */
export interface WeightedPart {
  readonly service: string;
  readonly weight: number;
}

/**
 * Golden ratio less 1: any number of steps of this size, modulo 1, is spread
 * evenly over the interval from 0 to 1.
 */
const goldenRatioStep = (Math.sqrt(5) - 1) / 2;

/**
 * Distributes the requests of each route over its parts by weight. Each route
 * starts at a random phase, so that the weights also hold across many gateways
 * with few requests each.
 */
export class PartSelector {
  readonly #phases = new Map<string, number>();
  readonly #random: () => number;

  constructor(options: {
    /** Returns a number between 0 and 1. */
    readonly random: () => number;
  }) {
    this.#random = options.random;
  }

  /** Returns the service for a route's next request. */
  next(route: {
    readonly name: string;
    readonly parts: readonly WeightedPart[];
  }): string {
    const { name, parts } = route;
    const last = parts.at(-1)!;
    if (parts.length === 1) return last.service;
    const phase = (this.#phases.get(name) ?? this.#random()) + goldenRatioStep;
    this.#phases.set(name, phase % 1);
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = (phase % 1) * total;
    for (const { service, weight } of parts) {
      remaining -= weight;
      if (remaining < 0) return service;
    }
    return last.service;
  }
}
