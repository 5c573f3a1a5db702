import type { Route } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import {
  decideOnKey,
  holdsLease,
  KeyFault,
  leaseMilliseconds,
  noKeyLease,
  recheckKey,
  renewLease,
} from "@kingcupglade/workspaces";
import type {
  KeyDecision,
  KeyDigest,
  KeyIndex,
  KeyKnowledge,
} from "@kingcupglade/workspaces";
import type { GatewayResponse } from "../callers/caller_response.ts";
import type { RequestWorkspace } from "../requests/routed_request.ts";
import type { ReceivedOwnPart } from "../table/table_synchronizer.ts";

/**
 * Age of the last contact with control above which a key that the table lacks
 * may be in force: a confirmed change is, everywhere, after this time.
 */
const maximumContactAgeMilliseconds = 2000;
/** Time after which a caller may try another gateway. */
const elsewhereRetryMilliseconds = 300;
/** Only an operator can make such a request succeed. */
const configurationRetryMilliseconds = 1000;
/** Digits of a digest in the log: they identify one key among thousands. */
const loggedDigits = 12;
const millisecondsPerSecond = 1000;

/** Options of a {@link KeyGate}. */
export interface KeyGateOptions {
  readonly table: () => { readonly keys: KeyIndex };
  readonly digest: Pick<KeyDigest, "of">;
  /** Also advances while this VM is suspended. */
  readonly elapsedClock: Clock;
  /**
   * Time after the acknowledgement of a revocation from which no request with
   * the key reaches a target; undefined for no bound, and no lease.
   */
  readonly revokeMilliseconds?: number;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "keyLease" | "refusals">;
}

/** A request whose key is examined. */
export interface KeyedRequest {
  readonly requestId: string;
  readonly route: Route;
}

/** Result of {@link KeyGate.authenticate}. */
export type Authentication =
  | {
    readonly kind: "accepted";
    /** The route, with what the workspace says applied. */
    readonly route: Route;
    /** Undefined for requests that need no key. */
    readonly workspace?: RequestWorkspace;
  }
  | { readonly kind: "refused"; readonly response: GatewayResponse };

/** Decides on the keys of callers, by the table and the lease on it. */
export class KeyGate {
  readonly #options: KeyGateOptions;
  readonly #leaseMilliseconds: number | undefined;
  #lease = noKeyLease;
  #contactAt = -Infinity;
  #hadLease = false;

  constructor(options: KeyGateOptions) {
    this.#options = options;
    const { revokeMilliseconds } = options;
    this.#leaseMilliseconds = revokeMilliseconds === undefined
      ? undefined
      : leaseMilliseconds(revokeMilliseconds);
  }

  /** Whether a workspace exists or has existed. */
  get areKeysRequired(): boolean {
    return this.#options.table().keys.areKeysRequired;
  }

  /** Whether requests with keys may be served, as far as the lease goes. */
  get isReady(): boolean {
    return !this.areKeysRequired || this.#hasLease;
  }

  /** Takes over what a leader says of the lease. */
  renew({ part, sentAt, isTableCurrent }: ReceivedOwnPart): void {
    if (isTableCurrent) this.#contactAt = Math.max(this.#contactAt, sentAt);
    if (this.#leaseMilliseconds === undefined) return;
    const { confirmedAgeMilliseconds } = part;
    this.#lease = renewLease(
      this.#lease,
      { sentAt, confirmedAgeMilliseconds, isTableCurrent },
      this.#leaseMilliseconds,
    );
    this.observe();
  }

  /** Logs the beginning and end of the lease; called regularly. */
  observe(): void {
    const { elapsedClock, logger, metrics } = this.#options;
    // Read regularly, see ElapsedClock.
    const now = elapsedClock.now();
    if (this.#leaseMilliseconds === undefined) return;
    const left = this.#lease.endsAt - now;
    metrics.keyLease.set(
      Number.isFinite(left) ? Math.max(0, left) / millisecondsPerSecond : 0,
    );
    const hasLease = this.#hasLease;
    if (hasLease === this.#hadLease) return;
    this.#hadLease = hasLease;
    const fields = {
      leftMilliseconds: rounded(left),
      contactAgeMilliseconds: rounded(now - this.#contactAt),
    };
    if (hasLease) logger.info("key-lease-acquired", fields);
    else logger.warn("key-lease-lost", fields);
  }

  /**
   * Decides on a caller's request, before its body is read.
   *
   * @param key Bytes of its key; undefined if it has none that can be read.
   */
  authenticate(
    { requestId, route }: KeyedRequest,
    key: () => Uint8Array | undefined,
  ): Authentication {
    const isKeyNeeded = this.areKeysRequired && route.isPublic !== true;
    if (!isKeyNeeded) return { kind: "accepted", route };
    const keyBytes = key();
    const keyDigest = keyBytes && this.#options.digest.of(keyBytes);
    const decision = decideOnKey({ route, keyDigest }, this.#knowledge);
    if (decision.kind === "accepted") return accept(decision, keyDigest);
    const { fault, workspace } = decision;
    const response = this.refuse(fault, {
      requestId,
      route: route.name,
      keyDigest,
      workspace,
    });
    return { kind: "refused", response };
  }

  /** Decides on a request that another gateway relays with its key's digest. */
  decideOnRelayed(
    route: Route,
    workspace: RequestWorkspace | undefined,
  ): KeyDecision {
    const keyDigest = workspace?.keyDigest;
    const decision = decideOnKey({ route, keyDigest }, this.#knowledge);
    // The other gateway has another table of keys.
    const isOther = decision.kind === "accepted" &&
      decision.workspace !== undefined &&
      decision.workspace !== workspace?.name;
    return isOther ? { kind: "refused", fault: KeyFault.unknownKey } : decision;
  }

  /**
   * Checks a request again that is about to be sent; returns what speaks against
   * it. Requests without a workspace need no key.
   */
  recheck(workspace: RequestWorkspace | undefined): KeyFault | undefined {
    return workspace && recheckKey(workspace, this.#knowledge);
  }

  /** Logs and counts a refusal; returns the response to the caller. */
  refuse(
    fault: KeyFault,
    request: {
      readonly requestId: string;
      readonly route: string;
      readonly keyDigest: string | undefined;
      readonly workspace: string | undefined;
    },
  ): GatewayResponse {
    const { elapsedClock, logger, metrics } = this.#options;
    const response = keyResponses[fault];
    const now = elapsedClock.now();
    metrics.refusals.inc({ reason: fault });
    logger.info("key-refused", {
      request: request.requestId,
      status: response.status,
      fault,
      route: request.route,
      workspace: request.workspace ?? null,
      keyDigest: request.keyDigest?.slice(0, loggedDigits) ?? null,
      workspaces: this.#options.table().keys.workspaceCount,
      contactAgeMilliseconds: rounded(now - this.#contactAt),
      leaseMilliseconds: this.#leaseMilliseconds === undefined
        ? null
        : rounded(this.#lease.endsAt - now),
    });
    return response;
  }

  get #hasLease(): boolean {
    return this.#leaseMilliseconds === undefined ||
      holdsLease(this.#lease, this.#options.elapsedClock.now());
  }

  get #knowledge(): KeyKnowledge {
    const { table, elapsedClock } = this.#options;
    return {
      keys: table().keys,
      hasLease: this.#hasLease,
      isRecent: elapsedClock.now() - this.#contactAt <=
        maximumContactAgeMilliseconds,
    };
  }
}

/** Responses to requests that are not served because of their keys. */
const keyResponses: Readonly<Record<KeyFault, GatewayResponse>> = {
  [KeyFault.noKey]: {
    status: 401,
    reason: "the request has no key",
    challenge: "Bearer",
  },
  [KeyFault.unknownKey]: {
    status: 401,
    reason: "the key is unknown",
    challenge: "Bearer",
  },
  [KeyFault.oldTable]: {
    status: 503,
    reason: "this VM may not know the key yet",
    retryAfterMilliseconds: elsewhereRetryMilliseconds,
  },
  [KeyFault.noLease]: {
    status: 503,
    reason: "this VM has no lease on the table of keys",
    retryAfterMilliseconds: elsewhereRetryMilliseconds,
  },
  [KeyFault.noRegion]: {
    status: 503,
    reason: "the route and the workspace have no home region in common",
    retryAfterMilliseconds: configurationRetryMilliseconds,
  },
};

function accept(
  { route, workspace }: Extract<KeyDecision, { readonly kind: "accepted" }>,
  keyDigest: string | undefined,
): Authentication {
  return workspace === undefined || keyDigest === undefined
    ? { kind: "accepted", route }
    : { kind: "accepted", route, workspace: { name: workspace, keyDigest } };
}

function rounded(milliseconds: number): number | null {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : null;
}
