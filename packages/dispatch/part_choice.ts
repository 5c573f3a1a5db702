/** A part of a route's requests and its weight. */
export interface WeightedPart {
  readonly service: string;
  readonly weight: number;
}

/** Deals a route's requests to its parts, as near to the weights as can be. */
export class PartChoice {
  readonly #credits = new Map<string, number>();

  /** The service of the next request. */
  next(parts: readonly WeightedPart[]): string {
    if (parts.length === 1) return parts[0]!.service;
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    let best = parts[0]!;
    for (const part of parts) {
      const credit = (this.#credits.get(part.service) ?? 0) + part.weight;
      this.#credits.set(part.service, credit);
      if (
        credit > (this.#credits.get(best.service) ?? 0) || best.weight === 0
      ) {
        best = part;
      }
    }
    this.#credits.set(
      best.service,
      (this.#credits.get(best.service) ?? 0) - total,
    );
    return best.service;
  }
}
