/** Outcome of a request as reported to the caller. */
export const Outcome = {
  /** The target's complete response follows. */
  answered: "answered",
  /** The request certainly had no effect. */
  notRun: "not-run",
  /** The request may or may not have taken effect. */
  unknown: "unknown",
} as const;
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** Why a request was not answered by a target. */
export const Reason = {
  noRoute: "no-route",
  badRequest: "bad-request",
  bodyTooLarge: "body-too-large",
  noLease: "no-lease",
  noOwner: "no-owner",
  noTarget: "no-target",
  noHome: "no-home",
  /** The caller is redirected to the home region of its request. */
  outsideHome: "outside-home",
  overload: "overload",
  deadline: "deadline",
  unreachable: "unreachable",
  fenced: "fenced",
  shed: "shed",
  connectionLost: "connection-lost",
  conflict: "conflict",
  /** The caller's connection closed before the response. */
  cancelled: "cancelled",
  /** The target's response may be incomplete. */
  badAnswer: "bad-answer",
  /** The ledger that stores idempotency keys is currently unreachable. */
  noLedger: "no-ledger",
  /** Both copies of the ledger were lost, possibly with the key. */
  ledgerLost: "ledger-lost",
  /** The first request with the idempotency key is still in progress. */
  inProgress: "in-progress",
  /** The first response was too large to be stored for later requests. */
  answerNotKept: "answer-not-kept",
} as const;
export type Reason = typeof Reason[keyof typeof Reason];

/** Headers between callers, the router and targets. */
export const Header = {
  outcome: "kingcupglade-outcome",
  reason: "kingcupglade-reason",
  /** Fencing epoch of the range, to the target. */
  epoch: "kingcupglade-epoch",
  /** Position of the key in the hash space, to the target. */
  position: "kingcupglade-position",
  /** Placement group of the key, to the target. */
  group: "kingcupglade-group",
  /**
   * Identifies the exchange; by echoing it, a target proves which request its
   * response belongs to.
   */
  exchange: "kingcupglade-exchange",
  /** Authenticates the VM that forwarded a request. */
  vmSecret: "kingcupglade-vm-secret",
  /**
   * Milliseconds left until the deadline, as sent to targets. A caller sends it
   * to shorten the configured deadline.
   */
  deadline: "kingcupglade-deadline-milliseconds",
  idempotencyKey: "idempotency-key",
} as const;

/** A refusal: the status, outcome and reason that the caller receives. */
export interface Refusal {
  readonly kind: "refusal";
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: Reason;
  readonly retryAfterSeconds?: number;
}

/** Returns a refusal of a request that certainly did not run. */
export function notRun(
  reason: Reason,
  options: { readonly status?: number; readonly retryAfterSeconds?: number } =
    {},
): Refusal {
  return {
    kind: "refusal",
    status: options.status ?? 503,
    outcome: Outcome.notRun,
    reason,
    ...(options.retryAfterSeconds === undefined
      ? {}
      : { retryAfterSeconds: options.retryAfterSeconds }),
  };
}

/**
 * Returns a refusal of a request with an idempotency key before the ledger was
 * queried: nothing was sent, but an earlier request with the key may have run.
 */
export function ledgerNotQueried(reason: Reason): Refusal {
  return { ...unknownOutcome(reason), status: 503, retryAfterSeconds: 1 };
}

/** Returns a refusal of a request that may have run. */
export function unknownOutcome(reason: Reason): Refusal {
  return { kind: "refusal", status: 504, outcome: Outcome.unknown, reason };
}
