/** An item in a queue. */
interface QueueEntry<Item> {
  readonly item: Item;
  /** Whether the item has been taken or is to be skipped. */
  removed: boolean;
}

interface Flow<Item> {
  readonly weight: number;
  readonly waiting: QueueEntry<Item>[];
  /** Virtual time at which the flow's next item is due; the earliest is next. */
  due: number;
}

/** Weighted fair queueing over flows; each flow is served in arrival order. */
class WeightedFlows<Item> {
  readonly #flows = new Map<string, Flow<Item>>();
  #virtualTime = 0;

  get isEmpty(): boolean {
    return this.#flows.size === 0;
  }

  add(
    name: string,
    entry: { readonly waiting: QueueEntry<Item>; readonly weight: number },
  ): void {
    const { waiting, weight } = entry;
    const flow = this.#flows.get(name);
    if (flow) flow.waiting.push(waiting);
    else {
      const due = this.#virtualTime + 1 / weight;
      this.#flows.set(name, { weight, waiting: [waiting], due });
    }
  }

  take(): QueueEntry<Item> | undefined {
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

/** Weights of the classes, applied while all of them have waiting requests. */
export const classWeights: Readonly<Record<string, number>> = {
  urgent: 8,
  normal: 4,
  bulk: 1,
};

/**
 * A queue that is served by fixed weights among classes and, within a class, by
 * the weights of its tenants. No class or tenant starves.
 */
export class FairQueue<Item> {
  readonly #classes = new WeightedFlows<string>();
  readonly #tenants = new Map<string, WeightedFlows<Item>>();
  #size = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item and returns a function that removes it. */
  add(
    item: Item,
    flow: {
      readonly class: string;
      readonly tenant: string;
      readonly weight: number;
    },
  ): () => void {
    const waiting: QueueEntry<Item> = { item, removed: false };
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

  /** Removes and returns the next item. */
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
