import type { Distance, Pool } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import type {
  ForwardingContext,
  RoutedRequest,
} from "../requests/routed_request.ts";
import type { SlotRequest } from "./slot_messages.ts";
import type { SlotTicket } from "./slot_client.ts";
import { mayReceive } from "../targets/may_receive.ts";
import type { TargetLimitation } from "../targets/target_attempts.ts";

/** Managers at which one attempt may be queued at the same time. */
const maximumConcurrentManagers = 3;
/** Slot requests that are sent for one request, all attempts included. */
const maximumRequests = 6;
/**
 * If the expected wait is at least this, a slot is also requested from a
 * manager in another data centre, at the given distance.
 */
const widenAfterMilliseconds: Readonly<Record<Distance, number>> = {
  dataCentre: 40,
  region: 40,
  far: 200,
};
/** Time before the caller's deadline at which a response must be on its way. */
const responseMarginMilliseconds = 15;

/** Options of {@link SlotAcquisition}. */
export interface SlotAcquisitionOptions {
  readonly context: Pick<
    ForwardingContext,
    "pools" | "slots" | "selector" | "clock" | "table" | "notices"
  >;
  readonly routed: RoutedRequest;
  /** Called with the target of a slot; the ticket is ended after its use. */
  readonly granted: (target: TargetView, ticket: SlotTicket) => void;
  readonly refused: (reason: string, waitMilliseconds: number) => void;
  /** Called when no manager responds and the gateway has to choose a target. */
  readonly unmanaged: () => void;
}

/**
 * Acquires a slot for one request from a nearby manager, and also from others
 * if the expected wait is long. Uses the first slot and releases the others.
 */
export class SlotAcquisition {
  readonly #options: SlotAcquisitionOptions;
  /** Managers that do not respond, or act on a different table. */
  readonly #excludedManagers = new Set<string>();
  /** Data centres to which the current attempt has sent a slot request. */
  readonly #dataCentres = new Set<string>();
  #requests = 0;
  /** Slot requests of the current attempt that are waiting, by manager. */
  readonly #waiting = new Map<string, SlotTicket>();
  #isClosed = false;
  #deadlineTimer: NodeJS.Timeout | undefined;

  constructor(options: SlotAcquisitionOptions) {
    this.#options = options;
  }

  /**
   * Requests a slot for the next attempt; returns false when there is no
   * manager to request it from.
   */
  requestSlot(criteria: TargetLimitation): boolean {
    this.#dataCentres.clear();
    const pool = this.#nextPool();
    if (pool) this.#requestFrom(pool, criteria);
    return pool !== undefined;
  }

  #nextPool(): Pool | undefined {
    const { routed, context } = this.#options;
    if (this.#isClosed || this.#requests >= maximumRequests) return undefined;
    return context.pools.poolFor(
      routed,
      this.#excludedManagers,
      this.#dataCentres,
    );
  }

  #requestFrom(pool: Pool, criteria: TargetLimitation): void {
    const { routed, context } = this.#options;
    const { manager } = pool;
    const left = routed.deadlineAt - context.clock.now() -
      responseMarginMilliseconds;
    this.#deadlineTimer ??= setTimeout(
      () => this.#refuse("no room in time", 0),
      Math.max(0, left),
    );
    this.#requests += 1;
    const ticket = context.slots.requestSlot(
      manager,
      this.#slotRequest(criteria, { isHedge: false }),
      {
        granted: (name) => this.#acceptGrant(manager, ticket, name),
        waits: (wait) => this.#widen(criteria, wait),
        refused: (reason, wait) => {
          this.#waiting.delete(manager);
          if (this.#waiting.size > 0 || this.#widen(criteria, Infinity)) return;
          this.#refuse(reason, wait);
        },
        late: () => this.#widen(criteria, Infinity),
        unavailable: () => {
          this.#waiting.delete(manager);
          this.#excludedManagers.add(manager);
          if (this.#waiting.size > 0) return;
          this.#releaseAll();
          this.#fallBack();
        },
      },
    );
    this.#waiting.set(manager, ticket);
    this.#dataCentres.add(pool.dataCentre);
  }

  /**
   * Requests a slot for a hedge of a request that is in flight; returns false
   * when there is no manager to request it from.
   */
  requestHedgeSlot(hedge: {
    readonly tried: ReadonlySet<string>;
    readonly granted: SlotAcquisitionOptions["granted"];
  }): boolean {
    const { routed, context } = this.#options;
    const { tried, granted } = hedge;
    const pool = this.#isClosed
      ? undefined
      : context.pools.poolFor(routed, this.#excludedManagers);
    if (!pool) return false;
    const request = this.#slotRequest({ tried, only: null }, { isHedge: true });
    const ticket = context.slots.requestSlot(pool.manager, request, {
      granted: (name) => {
        const target = this.#usableTarget(name);
        if (target && !this.#isClosed) granted(target, ticket);
        else ticket.end(null);
      },
      waits: () => ticket.end(null),
      refused: () => {},
      late: () => {},
      unavailable: () => {},
    });
    return true;
  }

  /** Ends all slot requests. */
  close(): void {
    this.#isClosed = true;
    this.#releaseAll();
  }

  #slotRequest(
    { tried, only }: TargetLimitation,
    { isHedge }: { readonly isHedge: boolean },
  ): Omit<SlotRequest, "kind" | "id"> {
    const { routed, context } = this.#options;
    const now = context.clock.now();
    return {
      route: routed.route.name,
      service: routed.service,
      position: routed.position ?? null,
      tried: [...new Set([...tried, ...context.notices.unusable()])],
      only: only && [...only],
      isHedge,
      ageMilliseconds: Math.round(now - routed.firstSentAt),
      leftMilliseconds: Math.max(1, Math.round(routed.deadlineAt - now)),
      ...(routed.workspace && { workspace: routed.workspace.name }),
    };
  }

  #acceptGrant(manager: string, ticket: SlotTicket, name: string): void {
    // Only one slot is used for an attempt.
    if (this.#isClosed || !this.#waiting.delete(manager)) {
      return ticket.end(null);
    }
    this.#releaseAll();
    const target = this.#usableTarget(name);
    if (target) return this.#options.granted(target, ticket);
    // The manager's table is older or newer than this gateway's.
    ticket.end(null);
    this.#excludedManagers.add(manager);
    this.#fallBack();
  }

  /** Requests a slot from one more manager if the wait there may be shorter. */
  #widen(criteria: TargetLimitation, waitMilliseconds: number): boolean {
    if (this.#waiting.size >= maximumConcurrentManagers) return false;
    const pool = this.#nextPool();
    if (!pool || waitMilliseconds < widenAfterMilliseconds[pool.distance]) {
      return false;
    }
    this.#requestFrom(pool, criteria);
    return true;
  }

  #usableTarget(name: string): TargetView | undefined {
    const { routed, context } = this.#options;
    const target = context.table().target(name);
    const isUsable = target && target.service === routed.service &&
      mayReceive(context, target) &&
      context.selector.isHomeRegion(routed.route, target);
    return isUsable ? target : undefined;
  }

  #refuse(reason: string, waitMilliseconds: number): void {
    this.#releaseAll();
    if (!this.#isClosed) this.#options.refused(reason, waitMilliseconds);
  }

  #fallBack(): void {
    if (!this.#isClosed) this.#options.unmanaged();
  }

  // The timer limits only the wait for a slot: a request that was sent is ended
  // by the timeout of its exchange.
  #releaseAll(): void {
    clearTimeout(this.#deadlineTimer);
    this.#deadlineTimer = undefined;
    for (const ticket of this.#waiting.values()) ticket.end(null);
    this.#waiting.clear();
  }
}
