/** Whether requests of a route may be repeated. */
export const RequestKind = {
  /** Requests may run more than once. */
  idempotent: "idempotent",
  /** A request may run at most once for each attempt of its caller. */
  once: "once",
} as const;
export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

/** Kinds of configuration items. */
export const ItemKind = {
  route: "route",
  service: "service",
  limits: "limits",
  workspace: "workspace",
} as const;
export type ItemKind = typeof ItemKind[keyof typeof ItemKind];

/** A service that receives a part of a route's requests. */
export interface RoutePart {
  readonly service: string;
  /** Share of the requests, relative to the other parts. */
  readonly weight: number;
}

/** Maps the requests for a host and path prefix to services. */
export interface Route {
  readonly kind: typeof ItemKind.route;
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly requests: RequestKind;
  /** Maximum time that a caller waits for a response. */
  readonly timeoutMilliseconds: number;
  /** Response time objective; a later response has reduced value. */
  readonly objectiveMilliseconds: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly parts: readonly RoutePart[];
  /** Maximum number of targets to which one attempt of a caller may be sent. */
  readonly maximumTargets: number;
  /** Regions that may serve the route; empty for all. */
  readonly homeRegions: readonly string[];
  /**
   * Whether requests need no key of a workspace; absent in items of releases
   * without workspaces, where it has no effect.
   */
  readonly isPublic?: boolean;
}

/** Properties of the targets of a service. */
export interface Service {
  readonly kind: typeof ItemKind.service;
  readonly name: string;
  /** Connections that one target accepts from all callers together. */
  readonly maximumConnections: number;
  /** Time for which a target is cold after its start. */
  readonly coldMilliseconds: number;
  /** Requests per second that a cold target can handle; 0 for no limit. */
  readonly coldPerSecond: number;
  /** Path at which targets immediately report their load; empty for none. */
  readonly loadPath: string;
  /** Whether each position is owned exclusively by one target. */
  readonly isKeyed: boolean;
}

/** Limits on the size and duration of caller requests. */
export interface Limits {
  readonly kind: typeof ItemKind.limits;
  readonly name: "";
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A workspace, whose callers present one of its keys. */
export interface Workspace {
  readonly kind: typeof ItemKind.workspace;
  readonly name: string;
  /** Digests of its keys, as 64 hexadecimal digits each; never the keys. */
  readonly keyDigests: readonly string[];
  /** Priority that replaces the route's; null to keep the route's. */
  readonly priority: number | null;
  /** Requests per second over all gateways; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
  /** Regions that may serve the workspace; empty for all. */
  readonly homeRegions: readonly string[];
}

export type ItemContent = Route | Service | Limits | Workspace;

/** An item as submitted by an operator. */
export interface SubmittedItem {
  readonly version: number;
  readonly content: ItemContent;
  /** The item as the operator wrote it, to be returned when it is read. */
  readonly source: string;
}

/** Removal of an item. */
export interface ItemRemoval {
  readonly kind: ItemKind;
  readonly name: string;
  readonly version: number;
}

/** A change by an operator; it is applied as a whole or not at all. */
export interface ItemChange {
  readonly items: readonly SubmittedItem[];
  readonly removals: readonly ItemRemoval[];
}

/** The current state of an item. A removed item keeps its version. */
export interface StoredItem {
  readonly kind: ItemKind;
  readonly name: string;
  readonly version: number;
  /** Null if the item is removed. */
  readonly content: ItemContent | null;
  /** The item as the operator wrote it; empty if the item is removed. */
  readonly source: string;
  /** Index of the log entry that last changed the item. */
  readonly changedAt: number;
}

/** Stored items by {@link itemId}. */
export type StoredItems = ReadonlyMap<string, StoredItem>;

/** Returns a key that is unique among items of all kinds. */
export function itemId(item: {
  readonly kind: ItemKind;
  readonly name: string;
}): string {
  return `${item.kind}/${item.name}`;
}
