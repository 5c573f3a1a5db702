import { hashOfText, SetDigest } from "@kingcupglade/items";
import type { TargetView } from "./view.ts";

/** What rarely changes of a target that a leader lists. */
export type ListedTarget = Omit<
  TargetView,
  "isCold" | "coldGateways" | "limitGateways"
>;

/**
 * Digest of the targets that a leader lists, and of which of them leave, whatever
 * their order. It leaves out what follows from the time at the leader.
 */
export class TargetsDigest {
  readonly #hashes = new Map<string, number>();
  readonly #digest = new SetDigest();

  get value(): number {
    return this.#digest.value;
  }

  /** Records a target in place of one of the same name. */
  set(target: ListedTarget): void {
    this.#replace(target.name, hashOf(target));
  }

  /** Records that a target is not listed. */
  delete(name: string): void {
    this.#replace(name, 0);
    this.#hashes.delete(name);
  }

  #replace(name: string, hash: number): void {
    this.#digest.replace(this.#hashes.get(name) ?? 0, hash);
    this.#hashes.set(name, hash);
  }
}

function hashOf(target: ListedTarget): number {
  const { name, bornAt, service, address, dataCentre, slots } = target;
  const { isLeaving, maximumPerSecond } = target;
  return hashOfText(
    JSON.stringify([
      name,
      bornAt,
      service,
      address,
      dataCentre,
      slots,
      isLeaving,
      maximumPerSecond,
    ]),
  );
}
