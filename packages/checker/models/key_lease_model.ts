import {
  confirmedAge,
  holdsLease,
  leaseMilliseconds,
  noKeyLease,
  renewLease,
  unconfirmedGateways,
} from "@kingcupglade/workspaces";
import type { GatewayKeys } from "@kingcupglade/workspaces";
import type { ExplorationModel } from "../explore.ts";
import { gateways, leaders } from "./key_lease_state.ts";
import type {
  GatewayId,
  KeyLeaseAction,
  KeyLeaseBounds,
  KeyLeaseMutation,
  KeyLeaseState,
  LeaderId,
  ModelGateway,
  ModelLeader,
  ModelMessage,
} from "./key_lease_state.ts";

export type { KeyLeaseMutation } from "./key_lease_state.ts";

const revokeMilliseconds = 5000;
const duration = leaseMilliseconds(revokeMilliseconds);
/** Log entry that revokes the key. */
const revocation = 1;
/**
 * Model of a key that is revoked, with the functions that control and gateways
 * use. A message that is delivered late, or not at all, stands for a partition.
 */
export class KeyLeaseModel
  implements ExplorationModel<KeyLeaseState, KeyLeaseAction> {
  readonly initial: KeyLeaseState;
  readonly #bounds: KeyLeaseBounds;
  readonly #mutation: KeyLeaseMutation | null;

  constructor(bounds: KeyLeaseBounds, mutation: KeyLeaseMutation | null) {
    this.#bounds = bounds;
    this.#mutation = mutation;
    const { watches, relays } = bounds;
    this.initial = {
      now: 0,
      elected: 0,
      leaders: leaders.map(() => ({ index: 0, confirmedAt: 0, known: [] })),
      gateways: gateways.map(() => ({
        index: 0,
        lease: noKeyLease,
        suspended: 0,
        hasRestarted: false,
      })),
      messages: [],
      committedAt: null,
      committedBy: 0,
      confirmedBy: null,
      remaining: { watches, relays },
      violation: null,
    };
  }

  actions(state: KeyLeaseState): readonly KeyLeaseAction[] {
    const { remaining, messages, now, committedAt, elected } = state;
    const { lastTime, maySuspend, mayRestart } = this.#bounds;
    const isOver = now >= lastTime;
    const used = gateways.slice(0, this.#bounds.gateways);
    const each = (
      kind: "suspend" | "restart" | "relay",
    ): readonly KeyLeaseAction[] => used.map((gateway) => ({ kind, gateway }));
    return [
      ...(isOver ? [] : [{ kind: "step" } as const]),
      ...(maySuspend && !isOver ? each("suspend") : []),
      ...(mayRestart ? each("restart") : []),
      ...(elected === 0 ? [{ kind: "elect" } as const] : []),
      ...(committedAt === null ? [{ kind: "commit" } as const] : []),
      ...(committedAt !== null && state.confirmedBy === null
        ? [{ kind: "acknowledge" } as const]
        : []),
      ...(state.leaders[elected]!.confirmedAt < now
        ? [{ kind: "confirm" } as const]
        : []),
      ...(remaining.watches > 0
        ? used.flatMap((gateway) =>
          leaders.map((leader) => ({ kind: "watch", gateway, leader } as const))
        )
        : []),
      ...(remaining.relays > 0 ? each("relay") : []),
      ...messages.map((_, message) => ({ kind: "deliver", message } as const)),
    ];
  }

  apply(state: KeyLeaseState, action: KeyLeaseAction): KeyLeaseState {
    switch (action.kind) {
      case "step":
        return this.#advance(state);
      case "suspend":
        return this.#advance(
          withGateway(state, action.gateway, (gateway) => ({
            ...gateway,
            suspended: gateway.suspended + this.#bounds.stepMilliseconds,
          })),
        );
      case "restart":
        return withGateway(state, action.gateway, (gateway) => ({
          ...gateway,
          index: null,
          lease: noKeyLease,
          hasRestarted: true,
        }));
      case "elect":
        return withLeader({ ...state, elected: 1 }, 1, (leader) => ({
          ...leader,
          // The log of a leader that is elected has what was committed.
          index: state.committedAt === null ? 0 : revocation,
          confirmedAt: state.now,
        }));
      case "commit":
        return withLeader(
          {
            ...state,
            committedAt: state.now,
            committedBy: state.elected,
          },
          state.elected,
          (leader) => ({ ...leader, index: revocation }),
        );
      case "confirm":
        return withLeader(state, state.elected, (leader) => ({
          ...leader,
          confirmedAt: state.now,
        }));
      case "acknowledge":
        return this.#acknowledge(state);
      case "watch":
        return sendWatch(state, action);
      case "relay":
        return this.#relay(state, action.gateway);
      case "deliver":
        return this.#deliver(state, action.message);
    }
  }

  fingerprint(state: KeyLeaseState): string {
    const { messages, ...rest } = state;
    return JSON.stringify([
      rest,
      messages.map((each) => JSON.stringify(each)).sort(),
    ]);
  }

  findViolation(state: KeyLeaseState): string | null {
    if (state.violation !== null) return state.violation;
    for (const gateway of gateways) {
      if (!this.#maySend(state, gateway)) continue;
      if (isOverdue(state)) {
        return `gateway ${gateway} sends with a key revoked before the bound`;
      }
      // One that restarts may get its table from a leader that was replaced: the
      // bound holds for it, the wait does not cover it.
      const hasConfirmed = !state.gateways[gateway]!.hasRestarted &&
        state.confirmedBy?.includes(String(gateway));
      if (hasConfirmed) {
        return `gateway ${gateway} sends after the change was acknowledged`;
      }
    }
    return null;
  }

  #advance(state: KeyLeaseState): KeyLeaseState {
    return { ...state, now: state.now + this.#bounds.stepMilliseconds };
  }

  /** Time on the clock by which a gateway measures its lease. */
  #clockOf(state: KeyLeaseState, gateway: GatewayId): number {
    return this.#mutation === "ignoresSuspension"
      ? state.now - state.gateways[gateway]!.suspended
      : state.now;
  }

  /** Whether a gateway would send a request with the key now. */
  #maySend(state: KeyLeaseState, id: GatewayId): boolean {
    const { index, lease } = state.gateways[id]!;
    return index !== null && index < revocation &&
      holdsLease(lease, this.#clockOf(state, id));
  }

  #acknowledge(state: KeyLeaseState): KeyLeaseState {
    const { known } = state.leaders[state.committedBy]!;
    const unconfirmed = unconfirmedGateways(known, {
      index: revocation,
      now: state.now,
    });
    const mayAcknowledge = unconfirmed.length === 0 ||
      this.#mutation === "acknowledgesAtOnce";
    const confirmedBy = known.map(({ name }) => name);
    return mayAcknowledge ? { ...state, confirmedBy } : state;
  }

  #relay(state: KeyLeaseState, gateway: GatewayId): KeyLeaseState {
    if (!this.#maySend(state, gateway)) return state;
    const other = gateway === 0 ? 1 : 0;
    const { remaining, messages } = state;
    return {
      ...state,
      remaining: { ...remaining, relays: remaining.relays - 1 },
      messages: [...messages, { kind: "relayed", gateway: other }],
    };
  }

  #deliver(state: KeyLeaseState, at: number): KeyLeaseState {
    const message = state.messages[at]!;
    const messages = state.messages.filter((each) => each !== message);
    const after = { ...state, messages };
    switch (message.kind) {
      case "watch":
        return receiveWatch(after, message);
      case "held":
        return this.#answerWatch(after, message);
      case "response":
        return this.#receiveResponse(after, message);
      case "relayed": {
        const isSent = this.#mutation === "sendsRelayedUnchecked" ||
          this.#maySend(state, message.gateway);
        return isSent && isOverdue(state)
          ? { ...after, violation: "a relayed request is sent after the bound" }
          : after;
      }
    }
  }

  #answerWatch(
    state: KeyLeaseState,
    { gateway, leader: id, sentAt, receivedAt }: Extract<
      ModelMessage,
      { readonly kind: "watch" | "held" }
    >,
  ): KeyLeaseState {
    const { index, confirmedAt } = state.leaders[id]!;
    const age = this.#mutation === "reportsNoAge"
      ? 0
      : confirmedAge({ confirmedAt, receivedAt });
    const response = { kind: "response", gateway, sentAt, age, index } as const;
    return { ...state, messages: [...state.messages, response] };
  }

  #receiveResponse(
    state: KeyLeaseState,
    { gateway: id, sentAt, age, index }: Extract<
      ModelMessage,
      { readonly kind: "response" }
    >,
  ): KeyLeaseState {
    const isSuspensionIgnored = this.#mutation === "ignoresSuspension";
    const { suspended } = state.gateways[id]!;
    const countedFrom = this.#mutation === "countsFromResponse"
      ? state.now
      : isSuspensionIgnored
      ? sentAt - suspended
      : sentAt;
    return withGateway(state, id, (gateway) => ({
      ...gateway,
      index: Math.max(gateway.index ?? 0, index),
      lease: renewLease(gateway.lease, {
        sentAt: countedFrom,
        confirmedAgeMilliseconds: age,
        isTableCurrent: index >= (gateway.index ?? 0),
      }, duration),
    }));
  }
}

/** Whether no request with the key may be sent any more. */
function isOverdue({ committedAt, now }: KeyLeaseState): boolean {
  return committedAt !== null && now > committedAt + revokeMilliseconds;
}

function sendWatch(
  state: KeyLeaseState,
  { gateway, leader }: Extract<KeyLeaseAction, { readonly kind: "watch" }>,
): KeyLeaseState {
  const { now, remaining, messages } = state;
  const index = state.gateways[gateway]!.index ?? 0;
  const times = { sentAt: now, receivedAt: now };
  return {
    ...state,
    remaining: { ...remaining, watches: remaining.watches - 1 },
    messages: [...messages, {
      kind: "watch",
      gateway,
      leader,
      index,
      ...times,
    }],
  };
}

// The leader holds the request, and answers it whenever the message that stands
// for it is delivered.
function receiveWatch(
  state: KeyLeaseState,
  message: Extract<ModelMessage, { readonly kind: "watch" | "held" }>,
): KeyLeaseState {
  // The second has no session before it is elected.
  if (message.leader === 1 && state.elected === 0) return state;
  const name = String(message.gateway);
  const receivedAt = state.now;
  const entry: GatewayKeys = {
    name,
    index: message.index,
    leaseEndsAt: receivedAt + revokeMilliseconds,
  };
  const held = { ...message, kind: "held", receivedAt } as const;
  return withLeader(
    { ...state, messages: [...state.messages, held] },
    message.leader,
    (leader) => ({
      ...leader,
      known: [...leader.known.filter((each) => each.name !== name), entry],
    }),
  );
}

function withGateway(
  state: KeyLeaseState,
  id: GatewayId,
  change: (gateway: ModelGateway) => ModelGateway,
): KeyLeaseState {
  const changed = state.gateways.map((each, at) =>
    at === id ? change(each) : each
  );
  return { ...state, gateways: changed };
}

function withLeader(
  state: KeyLeaseState,
  id: LeaderId,
  change: (leader: ModelLeader) => ModelLeader,
): KeyLeaseState {
  const changed = state.leaders.map((each, at) =>
    at === id ? change(each) : each
  );
  return { ...state, leaders: changed };
}
