import { Distance } from "./choose_target.ts";

/** Slots of one service that are managed by one slot manager. */
export interface Pool {
  /** Name of the slot manager. */
  readonly manager: string;
  readonly dataCentre: string;
  readonly distance: Distance;
  /** Slots that may be in use; a fraction if targets limit their requests. */
  readonly slots: number;
}

const nearestFirst = [
  Distance.dataCentre,
  Distance.region,
  Distance.far,
] as const;

/**
 * Golden ratio less 1: any number of steps of this size, modulo 1, is spread
 * evenly over the interval from 0 to 1.
 */
const goldenRatioStep = (Math.sqrt(5) - 1) / 2;

/**
 * Distributes a gateway's requests over the nearest pools, in proportion to
 * their slots.
 */
export class PoolSelector {
  #phase: number;

  constructor(options: {
    /** Returns a number between 0 and 1. */
    readonly random: () => number;
  }) {
    this.#phase = options.random();
  }

  /** Returns the next pool; undefined if there are none. */
  next(pools: readonly Pool[]): Pool | undefined {
    for (const distance of nearestFirst) {
      const near = pools.filter((each) => each.distance === distance);
      if (near.length > 0) return this.#selectBySlots(near);
    }
    return undefined;
  }

  #selectBySlots(pools: readonly Pool[]): Pool {
    this.#phase = (this.#phase + goldenRatioStep) % 1;
    const total = pools.reduce((sum, { slots }) => sum + slots, 0);
    let remaining = this.#phase * total;
    for (const pool of pools) {
      remaining -= pool.slots;
      if (remaining < 0) return pool;
    }
    return pools.at(-1)!;
  }
}
