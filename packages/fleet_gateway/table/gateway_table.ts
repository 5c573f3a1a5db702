import { PoolMap, TargetsDigest } from "@kingcupglade/fleet";
import type {
  RangeView,
  TargetView,
  ViewDelta,
  ViewPosition,
  VmEndpoint,
} from "@kingcupglade/fleet";
import {
  combineDigests,
  itemId,
  ItemKind,
  ItemsDigest,
  RouteIndex,
} from "@kingcupglade/items";
import type { Limits, Route, Service, StoredItem } from "@kingcupglade/items";
import { KeyIndex } from "@kingcupglade/workspaces";

/** Time for which a leader lists a target that sends no heartbeats. */
const silentTargetMilliseconds = 60_000;

/** Position of a table without content. */
export const emptyPosition: ViewPosition = {
  index: 0,
  term: 0,
  revision: 0,
  isComplete: false,
};

/** A gateway's routing table; it never reverts to an older log entry. */
export class GatewayTable {
  #position = emptyPosition;
  readonly #items = new Map<string, StoredItem>();
  readonly #itemsDigest = new ItemsDigest();
  readonly #targets = new Map<string, TargetView>();
  /** Of the targets that the leader lists. */
  readonly #targetsDigest = new TargetsDigest();
  /** When a new leader first did not list a target that its predecessor did. */
  readonly #unlisted = new Map<string, number>();
  #targetsByService = new Map<string, readonly TargetView[]>();
  /** Ranges of each keyed service, in ascending order. */
  readonly #ranges = new Map<string, RangeView[]>();
  #dataCentresOut: ReadonlySet<string> = new Set();
  #routeIndex = new RouteIndex([]);
  #keys = new KeyIndex([]);
  #control: readonly string[] = [];
  #relays: readonly VmEndpoint[] = [];
  #gatewayCount = 0;
  #pools = new PoolMap([]);

  get position(): ViewPosition {
    return this.#position;
  }

  /** Whether the table holds a configuration. */
  get hasConfiguration(): boolean {
    return this.#items.size > 0;
  }

  /** Digest of the items, for comparison with the leader's. */
  get itemsDigest(): number {
    return this.#itemsDigest.value;
  }

  /** Digest of the contents and the listed targets, to compare likewise. */
  get digest(): number {
    return combineDigests(
      this.#itemsDigest.contentValue,
      this.#targetsDigest.value,
    );
  }

  /** Number of items, including removed ones. */
  get itemCount(): number {
    return this.#items.size;
  }

  /** Peer addresses of the control VMs. */
  get control(): readonly string[] {
    return this.#control;
  }

  /** Gateways that may take requests of one that reaches no target. */
  get relays(): readonly VmEndpoint[] {
    return this.#relays;
  }

  /** Which gateway grants the slots of which target. */
  get pools(): PoolMap {
    return this.#pools;
  }

  /** Number of gateways that share common budgets; 0 while it is unknown. */
  get gatewayCount(): number {
    return this.#gatewayCount;
  }

  get limits(): Limits | undefined {
    const stored = this.#items.get(itemId({ kind: ItemKind.limits, name: "" }));
    return stored?.content?.kind === ItemKind.limits
      ? stored.content
      : undefined;
  }

  /** Keys of callers, by their digests. */
  get keys(): KeyIndex {
    return this.#keys;
  }

  matchRoute(host: string, path: string): Route | undefined {
    return this.#routeIndex.match(host, path);
  }

  /** Returns the number of routes of a host. */
  countRoutes(host: string): number {
    return this.#routeIndex.countRoutes(host);
  }

  /** Version of the route with a name; 0 if there is none. */
  routeVersion(name: string): number {
    return this.#items.get(itemId({ kind: ItemKind.route, name }))?.version ??
      0;
  }

  /** Version of the workspace with a name; 0 if there is none. */
  workspaceVersion(name: string): number {
    const id = itemId({ kind: ItemKind.workspace, name });
    return this.#items.get(id)?.version ?? 0;
  }

  routeNamed(name: string): Route | undefined {
    const stored = this.#items.get(itemId({ kind: ItemKind.route, name }));
    return stored?.content?.kind === ItemKind.route
      ? stored.content
      : undefined;
  }

  service(name: string): Service | undefined {
    const stored = this.#items.get(itemId({ kind: ItemKind.service, name }));
    return stored?.content?.kind === ItemKind.service
      ? stored.content
      : undefined;
  }

  target(name: string): TargetView | undefined {
    return this.#targets.get(name);
  }

  get targets(): Iterable<TargetView> {
    return this.#targets.values();
  }

  /**
   * Returns the targets of a service that may receive new requests: those that
   * the leader lists or, if there are none, those that its predecessor listed.
   */
  targetsOf(service: string): readonly TargetView[] {
    const targets = (this.#targetsByService.get(service) ?? []).filter(
      (target) => this.mayServe(target),
    );
    if (this.#unlisted.size === 0) return targets;
    const listed = targets.filter(({ name }) => this.isListed(name));
    return listed.length > 0 ? listed : targets;
  }

  /** Whether the leader lists a target; a new one has to hear from it first. */
  isListed(target: string): boolean {
    return this.#targets.has(target) && !this.#unlisted.has(target);
  }

  /** Whether a target may receive new requests. */
  mayServe({ isLeaving, dataCentre }: TargetView): boolean {
    return !isLeaving && !this.#dataCentresOut.has(dataCentre);
  }

  /** Targets whose connections tell whether this VM reaches any. */
  get reachableTargets(): readonly TargetView[] {
    return [...this.targets].filter((target) =>
      this.mayServe(target) && this.isListed(target.name)
    );
  }

  /** Addresses of all targets. */
  get addresses(): ReadonlySet<string> {
    return new Set([...this.targets].map(({ address }) => address));
  }

  /** Returns the range that contains a position. */
  range(service: string, position: number): RangeView | undefined {
    const ranges = this.#ranges.get(service) ?? [];
    let [low, high] = [0, ranges.length - 1];
    while (low <= high) {
      const middle = (low + high) >> 1;
      const range = ranges[middle]!;
      if (position < range.from) high = middle - 1;
      else if (position > range.to) low = middle + 1;
      else return range;
    }
    return undefined;
  }

  /**
   * Applies an update at a time, in milliseconds; one older than the table is
   * ignored.
   */
  apply(delta: ViewDelta, now = 0): void {
    if (delta.position.index < this.#position.index) return;
    for (const item of delta.items) this.#applyItem(item);
    if (delta.items.length > 0) {
      this.#routeIndex = new RouteIndex(this.#items.values());
      this.#keys = new KeyIndex(this.#items.values());
    }
    this.#applyDataCentresOut(new Set(delta.dataCentresOut));
    this.#applyTargets(delta, now);
    for (const range of delta.ranges) this.#applyRange(range);
    if (delta.managers) this.#pools = new PoolMap(delta.managers);
    this.#relays = delta.relays ?? this.#relays;
    this.#control = delta.control ?? this.#control;
    this.#gatewayCount = delta.gateways || this.#gatewayCount;
    // Last: an update that fails on its way is requested again.
    this.#position = delta.position;
  }

  #applyItem(item: StoredItem): void {
    const existing = this.#items.get(itemId(item));
    if (!existing || existing.version <= item.version) {
      this.#items.set(itemId(item), item);
      this.#itemsDigest.replace(existing, item);
    }
  }

  // Targets of a data centre that returns may have become cold in the meantime.
  // They count as cold until the leader reports them, also after a change of
  // leader.
  #applyDataCentresOut(out: ReadonlySet<string>): void {
    for (const [name, target] of this.#targets) {
      const { dataCentre } = target;
      if (!this.#dataCentresOut.has(dataCentre) || out.has(dataCentre)) {
        continue;
      }
      this.#targets.set(name, { ...target, isCold: true, coldGateways: [] });
    }
    this.#dataCentresOut = out;
  }

  #applyTargets(delta: ViewDelta, now: number): void {
    if (delta.areTargetsComplete) this.#keepUnlisted(delta, now);
    for (const name of delta.departed) {
      const existing = this.#targets.get(name);
      if (!existing) continue;
      const leaving = { ...existing, isLeaving: true };
      this.#targets.set(name, leaving);
      if (this.isListed(name)) this.#targetsDigest.set(leaving);
    }
    for (const name of delta.removedTargets) this.#removeTarget(name);
    for (const target of delta.targets) this.#applyTarget(target);
    for (const [name, since] of this.#unlisted) {
      if (now - since > silentTargetMilliseconds) this.#removeTarget(name);
    }
    const services = new Map<string, TargetView[]>();
    for (const target of this.#targets.values()) {
      const targets = services.get(target.service) ?? [];
      services.set(target.service, targets);
      targets.push(target);
    }
    this.#targetsByService = services;
  }

  // A new target at the same address replaces the previous one.
  #applyTarget(target: TargetView): void {
    for (const [name, { address }] of this.#targets) {
      if (address === target.address && name !== target.name) {
        this.#removeTarget(name);
      }
    }
    this.#unlisted.delete(target.name);
    this.#targets.set(target.name, target);
    this.#targetsDigest.set(target);
  }

  // A target that serves may have been silent since before the leader changed.
  // A cold one is used by the gateways that the present leader assigns only.
  #keepUnlisted({ targets }: ViewDelta, now: number): void {
    const listed = new Set(targets.map(({ name }) => name));
    for (const [name, target] of this.#targets) {
      if (listed.has(name)) continue;
      this.#unlisted.set(name, this.#unlisted.get(name) ?? now);
      this.#targets.set(name, { ...target, coldGateways: [] });
      this.#targetsDigest.delete(name);
    }
  }

  #removeTarget(name: string): void {
    this.#targets.delete(name);
    this.#targetsDigest.delete(name);
    this.#unlisted.delete(name);
  }

  #applyRange(range: RangeView): void {
    const ranges = this.#ranges.get(range.service) ?? [];
    this.#ranges.set(range.service, ranges);
    const index = ranges.findIndex(({ from }) => from >= range.from);
    if (index < 0) ranges.push(range);
    else if (ranges[index]!.from !== range.from) ranges.splice(index, 0, range);
    else if (ranges[index]!.fence <= range.fence) ranges[index] = range;
  }
}
