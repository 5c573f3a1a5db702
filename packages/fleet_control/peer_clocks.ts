import type { PeerTime } from "./received_call.ts";

/** A more precise sample of a clock is kept for this long. */
const preferredMilliseconds = 10_000;

/** Time of a peer, received in the response to a call. */
export interface ClockSample {
  readonly time: PeerTime;
  /** Local monotonic time at which the call was sent. */
  readonly askedAt: number;
  /** Local monotonic time at which the response arrived. */
  readonly receivedAt: number;
}

/** Knows the clocks of other VMs, by their peer addresses. */
export class PeerClocks {
  readonly #samples = new Map<string, ClockSample>();

  /** Records a sample unless a more precise one of the same process is recent. */
  record(address: string, sample: ClockSample): void {
    const known = this.#samples.get(address);
    const isPreferred = known !== undefined &&
      known.time.process === sample.time.process &&
      sample.receivedAt - known.receivedAt < preferredMilliseconds &&
      uncertaintyOf(known) < uncertaintyOf(sample);
    if (!isPreferred) this.#samples.set(address, sample);
  }

  /**
   * Returns the earliest time that the clock of a peer may show at a local time;
   * null if the peer has sent no time.
   */
  earliest(address: string, now: number): PeerTime | null {
    const sample = this.#samples.get(address);
    if (!sample) return null;
    const { time, receivedAt } = sample;
    return { ...time, milliseconds: time.milliseconds + now - receivedAt };
  }
}

function uncertaintyOf({ askedAt, receivedAt }: ClockSample): number {
  return receivedAt - askedAt;
}
