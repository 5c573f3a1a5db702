import type { FleetOutcome } from "@kingcupglade/fleet";
import type { FleetReplica } from "./leader_session.ts";

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
 * rejected.
 */
export class EvacuationOrders {
  readonly #replica: FleetReplica;
  /** Orders that are proposed and not applied, by data centre. */
  readonly #pending = new Map<string, PendingOrders>();

  constructor(options: { readonly replica: FleetReplica }) {
    this.#replica = options.replica;
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
    }
  }

  #isOvertaken({ dataCentre, isOut, knownIndex }: EvacuationOrder): boolean {
    const pending = this.#pending.get(dataCentre);
    if (pending) return pending.isOut !== isOut;
    const applied = this.#replica.state.evacuations.get(dataCentre);
    return applied !== undefined && applied.isOut !== isOut &&
      knownIndex !== null && applied.changedAt > knownIndex;
  }

  #count({ dataCentre, isOut }: EvacuationOrder, change: 1 | -1): void {
    const count = (this.#pending.get(dataCentre)?.count ?? 0) + change;
    if (count === 0) this.#pending.delete(dataCentre);
    else this.#pending.set(dataCentre, { isOut, count });
  }
}
