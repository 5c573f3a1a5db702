import { ExchangeEnd, minimumRemainingShare } from "@kingcupglade/dispatch";
import type {
  CallerDeadlines,
  TargetRecord,
  WaitingRequest,
} from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import type { Route } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import { routeForWorkspace } from "@kingcupglade/workspaces";
import type { GatewayTable } from "../table/gateway_table.ts";
import type { LoadProber } from "../targets/load_prober.ts";
import type {
  SlotEnd,
  SlotMessage,
  SlotRefusal,
  SlotRequest,
} from "./slot_messages.ts";
import type { TargetLimits } from "../targets/target_limits.ts";
import type { TargetSelector } from "../targets/target_selector.ts";

/** A request whose end message is lost expires this long after its deadline. */
const expiryMarginMilliseconds = 500;
/**
 * The end message of a slot may be lost: the slot is released after this many
 * expected durations, or after the minimum below if that is longer.
 */
const lostEndDurations = 4;
const minimumLostEndMilliseconds = 1500;
/** A refusal is kept this long: if it is lost, the request is repeated. */
const refusalRetentionMilliseconds = 1000;
const noTargets: ReadonlySet<string> = new Set();

/** Options of a {@link SlotManager}. */
export interface SlotManagerOptions {
  /** Chooses among the targets that this VM manages. */
  readonly selector: TargetSelector;
  readonly limits: Pick<TargetLimits, "record">;
  readonly table: () => GatewayTable;
  readonly loadProber: Pick<LoadProber, "probe">;
  /** What this VM knows of the callers of each route. */
  readonly callerDeadlines: Pick<CallerDeadlines, "isKnown">;
  readonly send: (message: SlotMessage, to: string) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A slot request and its state. */
interface PendingRequest {
  readonly request: SlotRequest;
  /** Address of the gateway that sent the request, as IP:PORT. */
  readonly from: string;
  readonly route: Route;
  readonly arrivedAt: number;
  expiresAt: number;
  /** Latest reply, sent again when the request is repeated. */
  reply: SlotMessage;
  waiting: WaitingRequest | undefined;
  grant: Grant | undefined;
}

interface Grant {
  readonly target: TargetView;
  readonly record: TargetRecord;
  readonly expectedMilliseconds: number;
  readonly grantedAt: number;
}

/**
 * Grants the slots of the targets that a gateway manages. Grants are hints: a
 * gateway that receives no reply chooses targets by its own observations.
 */
export class SlotManager {
  readonly #options: SlotManagerOptions;
  readonly #pending = new Map<string, PendingRequest>();

  constructor(options: SlotManagerOptions) {
    this.#options = options;
  }

  /** Number of requests and slots that have not ended. */
  get size(): number {
    return this.#pending.size;
  }

  /** Handles a slot request; a repeated one gets the same reply. */
  handleRequest(request: SlotRequest, from: string): void {
    const { clock, send, table } = this.#options;
    const existing = this.#pending.get(requestKey(request, from));
    if (existing) return send(existing.reply, from);
    const now = clock.now();
    const route = this.#routeOf(request);
    if (!route || !table().service(request.service)) {
      const reply = refusal(request, "the route is unknown", 0);
      return send({ ...reply, isUnknown: true }, from);
    }
    const pending: PendingRequest = {
      request,
      from,
      route,
      arrivedAt: now - request.ageMilliseconds,
      expiresAt: now + request.leftMilliseconds + expiryMarginMilliseconds,
      reply: { kind: "wait", id: request.id, waitMilliseconds: 0 },
      waiting: undefined,
      grant: undefined,
    };
    this.#pending.set(requestKey(request, from), pending);
    if (request.isHedge) this.#grantIdle(pending);
    else this.#schedule(pending, now);
  }

  /**
   * Returns the route of a request, with what its workspace says applied;
   * undefined if this VM's table lacks one of them or they allow no region.
   */
  #routeOf({ route: name, workspace: workspaceName }: SlotRequest) {
    const table = this.#options.table();
    const route = table.routeNamed(name);
    if (!route || workspaceName === undefined) return route;
    const workspace = table.keys.workspaceNamed(workspaceName);
    const found = workspace && routeForWorkspace(route, workspace);
    return found?.kind === "found" ? found.route : undefined;
  }

  /** Handles the end of a request or of a slot's use. */
  end({ id, use }: SlotEnd, from: string): void {
    const pending = this.#pending.get(requestKey({ id }, from));
    if (pending) this.#close(pending, use);
  }

  #close(pending: PendingRequest, use: SlotEnd["use"]): void {
    const { clock, selector } = this.#options;
    this.#pending.delete(requestKey(pending.request, pending.from));
    const queue = selector.service(pending.request.service);
    if (pending.waiting) queue.remove(pending.waiting);
    const { grant } = pending;
    if (!grant) return;
    const now = clock.now();
    const { expectedMilliseconds, record, target, grantedAt } = grant;
    const end = use?.end ?? ExchangeEnd.abandoned;
    const durationMilliseconds = use?.durationMilliseconds ?? 0;
    record.end(end, { now, durationMilliseconds, expectedMilliseconds });
    if (use?.load) record.report(use.load, now);
    if (use) {
      this.#options.limits.record({
        target: target.name,
        request: "",
        perSecond: use.maximumPerSecond,
        isConclusive: use.end === ExchangeEnd.answered,
        sentAt: grantedAt,
      });
    }
    const { position } = pending.request;
    if (position !== null && use && use.isHeld !== null) {
      selector.recordHolding(
        { service: pending.request.service, position, target: target.name },
        use.isHeld,
      );
    }
    queue.recordEnd(
      end === ExchangeEnd.answered
        ? { durationMilliseconds, expectedMilliseconds }
        : null,
    );
  }

  /** Releases slots and requests not ended in time; called regularly. */
  releaseExpired(): void {
    const { clock, logger } = this.#options;
    const now = clock.now();
    for (const pending of [...this.#pending.values()]) {
      if (now < pending.expiresAt) continue;
      const { request, from, grant } = pending;
      if (grant) {
        logger.info("slot-not-returned", {
          slot: request.id,
          peer: from,
          target: grant.target.name,
        });
      }
      this.#close(pending, null);
    }
  }

  #grantIdle(pending: PendingRequest): void {
    const { selector } = this.#options;
    const { request, route } = pending;
    const selection = selector.selectIdle({
      route,
      service: request.service,
      tried: new Set(request.tried),
    });
    if (selection) this.#grant(pending, selection.target, selection.record);
    else this.#refuse(pending, "no target is idle", 0);
  }

  #schedule(pending: PendingRequest, now: number): void {
    const { selector } = this.#options;
    const { request, route, arrivedAt } = pending;
    const queue = selector.service(request.service);
    if (queue.waitingCount === 0 && this.#tryStart(pending)) return;
    const lane = selector.laneOf({
      route,
      service: request.service,
      position: request.position ?? undefined,
    });
    const wait = queue.expectedWait({ priority: route.priority, ...lane });
    const minimum = queue.meanMilliseconds * minimumRemainingShare;
    if (wait + minimum > request.leftMilliseconds) {
      return this.#refuse(pending, "no room in time", wait);
    }
    pending.waiting = {
      priority: route.priority,
      lane: lane.lane,
      arrivedAt,
      isAgeKnown: this.#options.callerDeadlines.isKnown(route.name),
      objectiveAt: arrivedAt + route.objectiveMilliseconds,
      deadlineAt: now + request.leftMilliseconds,
      tryStart: () => this.#tryStart(pending),
      refuse: (reason, wait) => this.#refuse(pending, reason, wait),
    };
    queue.wait(pending.waiting);
    queue.advance();
    if (!pending.waiting) return;
    this.#reply(pending, {
      kind: "wait",
      id: request.id,
      waitMilliseconds: Math.round(wait),
    });
  }

  #tryStart(pending: PendingRequest): boolean {
    const { selector, loadProber } = this.#options;
    const { request, route, arrivedAt } = pending;
    const selection = selector.select({
      route,
      service: request.service,
      position: request.position ?? undefined,
      tried: request.tried.length === 0 ? noTargets : new Set(request.tried),
      only: request.only === null ? undefined : new Set(request.only),
      objectiveAt: arrivedAt + route.objectiveMilliseconds,
    });
    switch (selection.kind) {
      case "wait":
        return false;
      case "probe":
        void loadProber.probe(selection.target, selection)
          .then(() => selector.service(request.service).advance());
        return false;
      case "none":
        this.#refuse(
          pending,
          selection.reason,
          selection.waitMilliseconds ?? 0,
        );
        return true;
      case "found":
        this.#grant(pending, selection.target, selection.record);
        return true;
    }
  }

  #grant(
    pending: PendingRequest,
    target: TargetView,
    record: TargetRecord,
  ): void {
    const { selector, clock } = this.#options;
    const queue = selector.service(pending.request.service);
    const grantedAt = clock.now();
    const expectedMilliseconds = record.expectedDuration(
      queue.workMilliseconds,
      grantedAt,
    );
    record.begin();
    queue.recordStart();
    pending.waiting = undefined;
    pending.grant = { target, record, expectedMilliseconds, grantedAt };
    pending.expiresAt = Math.min(
      pending.expiresAt,
      grantedAt + Math.max(
        minimumLostEndMilliseconds,
        expectedMilliseconds * lostEndDurations,
      ),
    );
    this.#reply(pending, {
      kind: "grant",
      id: pending.request.id,
      target: target.name,
    });
  }

  #refuse(
    pending: PendingRequest,
    reason: string,
    waitMilliseconds: number,
  ): void {
    pending.waiting = undefined;
    pending.expiresAt = this.#options.clock.now() +
      refusalRetentionMilliseconds;
    this.#reply(pending, refusal(pending.request, reason, waitMilliseconds));
  }

  #reply(pending: PendingRequest, reply: SlotMessage): void {
    pending.reply = reply;
    this.#options.send(reply, pending.from);
  }
}

function refusal(
  { id }: SlotRequest,
  reason: string,
  waitMilliseconds: number,
): SlotRefusal {
  return {
    kind: "refuse",
    id,
    reason,
    waitMilliseconds: Math.round(waitMilliseconds),
    isUnknown: false,
  };
}

function requestKey({ id }: { readonly id: number }, from: string): string {
  return `${from}/${id}`;
}
