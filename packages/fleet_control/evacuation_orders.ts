import type { FleetOutcome } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { FleetReplica } from "./leader_session.ts";

/**
 * Time after a change for which an order without a known log entry may be one
 * that was sent before it.
 */
const doubtfulMilliseconds = 10_000;
/** Copies that arrive sooner after each other may have waited together. */
const minimumRepeatMilliseconds = 40;
/** A sender repeats a rejected order within this time. */
const maximumRepeatMilliseconds = 2000;

/** An operator's order to take a data centre out of service or to return it. */
export interface EvacuationOrder {
  readonly dataCentre: string;
  readonly isOut: boolean;
  /**
   * Log entry up to which the VM that read the order had applied the log; null
   * if unknown.
   */
  readonly knownIndex: number | null;
}

/** Outcome of an order; an overtaken order changes nothing. */
export type EvacuationOutcome = FleetOutcome | { readonly kind: "overtaken" };

interface PendingOrders {
  readonly isOut: boolean;
  readonly count: number;
}

/**
 * Commits evacuation orders during one term as leader. Orders carry no version,
 * so one that would reverse a change that was made since it was read is
 * rejected. If the VM that read it did not say what it knew, as in earlier
 * releases, an order that would reverse a recent change is committed only when
 * its sender repeats it.
 */
export class EvacuationOrders {
  readonly #replica: FleetReplica;
  readonly #clock: Clock;
  readonly #startedAt: number;
  /** Times of the last change in this term, by data centre. */
  readonly #changes = new Map<string, number>();
  /** Times at which doubtful orders were rejected, by order. */
  readonly #rejections = new Map<string, number>();
  /** Orders that are proposed and not applied, by data centre. */
  readonly #pending = new Map<string, PendingOrders>();

  constructor(
    options: { readonly replica: FleetReplica; readonly clock: Clock },
  ) {
    this.#replica = options.replica;
    this.#clock = options.clock;
    this.#startedAt = options.clock.now();
  }

  /**
   * Commits an order, unless it was overtaken by another.
   *
   * @throws {UnknownOutcomeError} when leadership was lost before the order was
   * known to be committed.
   * @throws {NotLeaderError} when the order was definitely not committed.
   */
  async commit(order: EvacuationOrder): Promise<EvacuationOutcome> {
    if (this.#isOvertaken(order)) return { kind: "overtaken" };
    const { dataCentre, isOut } = order;
    this.#count(order, 1);
    try {
      return await this.#replica.propose({
        kind: "evacuate",
        dataCentre,
        isOut,
      });
    } finally {
      this.#count(order, -1);
      this.#changes.set(dataCentre, this.#clock.now());
    }
  }

  #isOvertaken(order: EvacuationOrder): boolean {
    const { dataCentre, isOut, knownIndex } = order;
    const pending = this.#pending.get(dataCentre);
    if (pending) return pending.isOut !== isOut;
    const applied = this.#replica.state.evacuations.get(dataCentre);
    if (applied === undefined || applied.isOut === isOut) return false;
    return knownIndex === null
      ? this.#isDoubtful(order)
      : applied.changedAt > knownIndex;
  }

  #isDoubtful({ dataCentre, isOut }: EvacuationOrder): boolean {
    const now = this.#clock.now();
    const changedAt = this.#changes.get(dataCentre) ?? this.#startedAt;
    if (now - changedAt > doubtfulMilliseconds) return false;
    const order = `${isOut}/${dataCentre}`;
    const sinceRejection = now - (this.#rejections.get(order) ?? -Infinity);
    if (sinceRejection > maximumRepeatMilliseconds) {
      this.#rejections.set(order, now);
      return true;
    }
    if (sinceRejection < minimumRepeatMilliseconds) return true;
    this.#rejections.delete(order);
    return false;
  }

  #count({ dataCentre, isOut }: EvacuationOrder, change: 1 | -1): void {
    const count = (this.#pending.get(dataCentre)?.count ?? 0) + change;
    if (count === 0) this.#pending.delete(dataCentre);
    else this.#pending.set(dataCentre, { isOut, count });
  }
}
