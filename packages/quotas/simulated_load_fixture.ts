import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { SimulatedPolicy } from "./simulated_policy_fixture.ts";
import type { SimulatedNetwork } from "./simulated_network_fixture.ts";

/** Requests of the callers of one workspace. */
export interface SimulatedLoad {
  readonly workspace: string;
  /** Requests per second at a time, in milliseconds. */
  readonly rate: (now: number) => number;
  /** Returns the gateway that a request reaches. */
  readonly gateway: (now: number, random: () => number) => number;
}

/** What happened to the requests of a workspace. */
export class LoadRecord {
  /** When requests were sent to targets, in order. */
  readonly sentAt: number[] = [];
  /** When requests were offered. */
  readonly offeredAt: number[] = [];
  /** When requests arrived that were sent later. */
  readonly servedAt: number[] = [];
  waited = 0;

  /** Share of the requests from a time on that were sent. */
  servedShare(from: number, to = Infinity): number {
    const isWithin = (at: number) => at >= from && at < to;
    const offered = this.offeredAt.filter(isWithin).length;
    return this.servedAt.filter(isWithin).length / Math.max(1, offered);
  }

  /** Largest number of requests sent in a window that begins at `from` or later. */
  highest(windowMilliseconds: number, from = 0): number {
    let highest = 0;
    let start = 0;
    const times = this.sentAt.filter((at) => at >= from);
    for (let end = 0; end < times.length; end += 1) {
      while (times[start]! <= times[end]! - windowMilliseconds) start += 1;
      highest = Math.max(highest, end - start + 1);
    }
    return highest;
  }
}

/** Returns a random source of a seed, with numbers between 0 and 1. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Runs loads against a policy until a time. */
export function offerLoads(
  loads: readonly SimulatedLoad[],
  { policy, network, until }: {
    readonly policy: SimulatedPolicy;
    readonly network: SimulatedNetwork;
    readonly until: number;
  },
): ReadonlyMap<string, LoadRecord> {
  const { schedule, random } = network;
  const records = new Map<string, LoadRecord>();
  for (const load of loads) {
    const record = new LoadRecord();
    records.set(load.workspace, record);
    // Times between requests are shorter than the steps of the schedule.
    let nextAt = 1000;
    const next = () => {
      const now = schedule.now();
      if (now >= until) return;
      const { workspace } = load;
      const gateway = load.gateway(now, random);
      record.offeredAt.push(now);
      policy.request({ gateway, workspace }, (use) => {
        if (!use) return;
        if (schedule.now() > now) record.waited += 1;
        // A tenth of the requests wait for a slot before they are sent.
        const delay = random() < 0.1 ? random() * 300 : 0;
        schedule.after(delay, () => {
          if (!use.send()) return;
          record.sentAt.push(schedule.now());
          record.servedAt.push(now);
        });
      });
      const mean = 1000 / load.rate(now);
      nextAt += -Math.log(1 - random()) * mean;
      schedule.after(nextAt - now, next);
    };
    schedule.after(1000, next);
  }
  schedule.runUntil(until + 1000);
  return records;
}
