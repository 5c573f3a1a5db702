/** One request that waits. */
interface Waiting<Item> {
  readonly item: Item;
  removed: boolean;
}

interface Flow<Item> {
  readonly weight: number;
  readonly waiting: Waiting<Item>[];
  /** Virtual time at which its next item is due. */
  due: number;
}

/** Serves flows in proportion to their weights, each in arrival order. */
class WeightedFlows<Item> {
  readonly #flows = new Map<string, Flow<Item>>();
  #virtualTime = 0;

  get isEmpty(): boolean {
    return this.#flows.size === 0;
  }

  add(
    name: string,
    entry: { readonly waiting: Waiting<Item>; readonly weight: number },
  ): void {
    const { waiting, weight } = entry;
    const flow = this.#flows.get(name);
    if (flow) flow.waiting.push(waiting);
    else {
      const due = this.#virtualTime + 1 / weight;
      this.#flows.set(name, { weight, waiting: [waiting], due });
    }
  }

  take(): Waiting<Item> | undefined {
    let next: readonly [string, Flow<Item>] | undefined;
    for (const entry of this.#flows) {
      if (!next || entry[1].due < next[1].due) next = entry;
    }
    if (!next) return undefined;
    const [name, flow] = next;
    this.#virtualTime = flow.due;
    flow.due += 1 / flow.weight;
    const taken = flow.waiting.shift();
    if (flow.waiting.length === 0) this.#flows.delete(name);
    return taken;
  }
}

/** Shares of the classes while all of them wait. */
export const classWeights: Readonly<Record<string, number>> = {
  urgent: 8,
  normal: 4,
  bulk: 1,
};

/**
 * A queue that divides service among classes by fixed weights and, within a
 * class, among tenants by theirs. No class and no tenant is starved.
 */
export class FairQueue<Item> {
  readonly #classes = new WeightedFlows<string>();
  readonly #tenants = new Map<string, WeightedFlows<Item>>();
  #size = 0;

  /** Items that wait. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item; the function returned takes it out again. */
  add(
    item: Item,
    flow: {
      readonly class: string;
      readonly tenant: string;
      readonly weight: number;
    },
  ): () => void {
    const waiting: Waiting<Item> = { item, removed: false };
    const tenants = this.#tenants.get(flow.class) ?? new WeightedFlows();
    this.#tenants.set(flow.class, tenants);
    tenants.add(flow.tenant, { waiting, weight: flow.weight });
    this.#classes.add(flow.class, {
      waiting: { item: flow.class, removed: false },
      weight: classWeights[flow.class] ?? 1,
    });
    this.#size += 1;
    return () => {
      if (!waiting.removed) this.#size -= 1;
      waiting.removed = true;
    };
  }

  /** Takes out the item that is next. */
  take(): Item | undefined {
    while (true) {
      const next = this.#classes.take();
      if (!next) return undefined;
      const waiting = this.#tenants.get(next.item)!.take()!;
      if (waiting.removed) continue;
      waiting.removed = true;
      this.#size -= 1;
      return waiting.item;
    }
  }
}
