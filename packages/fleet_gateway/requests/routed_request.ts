import type { IncomingMessage } from "node:http";
import type { CallerDeadlines } from "@kingcupglade/dispatch";
import type { Route } from "@kingcupglade/items";
import type { QuotaUse } from "@kingcupglade/quotas";
import type { Clock, StallDetector } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { BodyMemory, RequestBody } from "@kingcupglade/transport";
import type { CallerRequestHead, CallerWire } from "../callers/caller_wire.ts";
import type { GatewayLink } from "../link/gateway_link.ts";
import type { GatewayTable } from "../table/gateway_table.ts";
import type { KeyGate } from "../admission/key_gate.ts";
import type { LoadProber } from "../targets/load_prober.ts";
import type { QuotaGate } from "../admission/quota_gate.ts";
import type { SlotPools } from "../slots/slot_pools.ts";
import type { SlotClient } from "../slots/slot_client.ts";
import type { SuspectGate } from "../targets/suspect_gate.ts";
import type { TargetConnections } from "../targets/target_connections.ts";
import type { TargetLimits } from "../targets/target_limits.ts";
import type { TargetNotices } from "../targets/target_notices.ts";
import type { TargetReach } from "../targets/target_reach.ts";
import type { TargetSelector } from "../targets/target_selector.ts";

/** Services and state of the gateway that every forwarded request uses. */
export interface ForwardingContext {
  readonly selector: TargetSelector;
  readonly reach: TargetReach;
  readonly connections: TargetConnections;
  /** Undefined if the rate of the link is not known. */
  readonly link?: GatewayLink | undefined;
  /** Bounds what is held of all responses until their ends are known. */
  readonly responseMemory: BodyMemory;
  readonly limits: TargetLimits;
  readonly notices: TargetNotices;
  readonly suspects: SuspectGate;
  readonly keys: KeyGate;
  readonly callerDeadlines: CallerDeadlines;
  readonly quotas: QuotaGate;
  readonly loadProber: LoadProber;
  readonly pools: SlotPools;
  readonly slots: SlotClient;
  readonly wire: CallerWire;
  readonly clock: Clock;
  /** Tells how late what arrives is read. */
  readonly stalls: Pick<StallDetector, "readDelay">;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: () => number;
  readonly table: () => GatewayTable;
  /** Returns the number of gateways that share the retry budget. */
  readonly gatewayCount: () => number;
}

/** The workspace that a request's key belongs to. */
export interface RequestWorkspace {
  readonly name: string;
  /** Digest of the key, as 64 hexadecimal digits. */
  readonly keyDigest: string;
}

/** A request whose route is known and whose body has been received. */
export interface RoutedRequest {
  readonly request: IncomingMessage;
  readonly head: CallerRequestHead;
  /** The route, with the priority and home regions of the workspace applied. */
  readonly route: Route;
  /** Undefined for requests that need no key. */
  readonly workspace?: RequestWorkspace | undefined;
  /**
   * Counts the request against the limit of its workspace. Undefined without a
   * limit, and for requests that another gateway relays and counts.
   */
  readonly quota?: QuotaUse | undefined;
  readonly service: string;
  /**
   * Position among the keys of a keyed service; undefined for other services,
   * even if the caller sent one.
   */
  readonly position: number | undefined;
  readonly body: RequestBody;
  /** Returns the digest of the request's content. */
  readonly digest: () => string;
  readonly arrivedAt: number;
  /**
   * When its caller first sent it, as far as is known: earlier than it arrived if
   * the caller was refused before.
   */
  readonly firstSentAt: number;
  /** Whether that includes attempts at other gateways. */
  readonly isAgeKnown: boolean;
  /** Earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAt: number;
  /** Name of the gateway that relays the request; undefined for a caller's. */
  readonly relayedBy?: string;
}
