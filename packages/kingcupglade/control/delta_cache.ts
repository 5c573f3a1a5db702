import { deltaSince } from "@kingcupglade/ownership";
import type { ControlState } from "@kingcupglade/ownership";
import { encodeValue } from "@kingcupglade/protocol";

/**
 * Caches encoded table deltas of the current state, as most VMs use the same
 * table version and receive the same delta.
 */
export class DeltaCache {
  #state: ControlState | undefined;
  readonly #encoded = new Map<number, Uint8Array<ArrayBuffer>>();

  /** Returns the encoded changes of the table since a version. */
  encodeDelta(
    state: ControlState,
    fromVersion: number,
  ): Uint8Array<ArrayBuffer> {
    if (this.#state !== state) {
      this.#state = state;
      this.#encoded.clear();
    }
    const cached = this.#encoded.get(fromVersion);
    if (cached) return cached;
    const delta = encodeValue(deltaSince(state, fromVersion));
    this.#encoded.set(fromVersion, delta);
    return delta;
  }
}
