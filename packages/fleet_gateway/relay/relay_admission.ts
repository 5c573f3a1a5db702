import type { Route } from "@kingcupglade/items";
import type { QuotaUse } from "@kingcupglade/quotas";
import { KeyFault } from "@kingcupglade/workspaces";
import { RelayDecision } from "./relay_message.ts";
import type { RelayRequest } from "./relay_message.ts";
import type {
  ForwardingContext,
  RequestWorkspace,
} from "../requests/routed_request.ts";

/** Requests of other gateways that are in progress at the same time. */
const maximumRelayed = 200;

/** Why a relayed request is not taken. */
interface RelayRejection {
  readonly decision: Exclude<RelayDecision, typeof RelayDecision.taken>;
  readonly reason: string;
}

/** Result of {@link admitRelayed}. */
export type RelayAdmission =
  | {
    readonly kind: "taken";
    /** The route, with what the workspace says applied. */
    readonly route: Route;
    /** Undefined for requests that need no key. */
    readonly workspace: RequestWorkspace | undefined;
    /** Lets it be sent while the lease of its gateway lasts, if it has a limit. */
    readonly quota: QuotaUse | undefined;
  }
  | ({ readonly kind: "rejected" } & RelayRejection);

const otherTable: RelayRejection = {
  decision: RelayDecision.otherTable,
  reason: "this VM has another version of the route",
};

const otherKeys: RelayRejection = {
  decision: RelayDecision.otherTable,
  reason: "this VM does not accept the key of the request",
};

/** Why relayed requests are not taken, by what speaks against their keys. */
const keyRejections: Readonly<Record<KeyFault, RelayRejection>> = {
  [KeyFault.noKey]: otherKeys,
  [KeyFault.unknownKey]: otherKeys,
  [KeyFault.oldTable]: otherKeys,
  [KeyFault.noRegion]: otherKeys,
  [KeyFault.noLease]: {
    decision: RelayDecision.unable,
    reason: "this VM has no lease on the table of keys",
  },
};

/**
 * Decides whether a request that another gateway relays is taken. Its key is
 * checked by this VM's own table and lease.
 *
 * @param route Route of that name in this VM's table.
 */
export function admitRelayed(
  relay: RelayRequest,
  route: Route | undefined,
  state: {
    readonly context: Pick<
      ForwardingContext,
      "keys" | "logger" | "quotas" | "reach" | "table"
    >;
    /** ID of the caller's attempt. */
    readonly requestId: string;
    readonly isStopping: boolean;
    /** Requests of other gateways that are in progress. */
    readonly relayedCount: number;
  },
): RelayAdmission {
  const rejection = rejectionOf(relay, state);
  if (!route || rejection) {
    return { kind: "rejected", ...rejection ?? otherTable };
  }
  const { keys, logger, quotas } = state.context;
  const decision = keys.decideOnRelayed(route, relay.workspace);
  if (decision.kind === "accepted") {
    const workspace = decision.workspace === undefined
      ? undefined
      : relay.workspace;
    const { quotaLeftMilliseconds } = relay;
    const quota = quotaLeftMilliseconds === undefined
      ? undefined
      : quotas.relayedUse(quotaLeftMilliseconds);
    return { kind: "taken", route: decision.route, workspace, quota };
  }
  logger.info("relayed-key-refused", {
    request: state.requestId,
    from: relay.from,
    fault: decision.fault,
    workspace: relay.workspace?.name ?? null,
  });
  return { kind: "rejected", ...keyRejections[decision.fault] };
}

function rejectionOf(
  relay: RelayRequest,
  { context, isStopping, relayedCount }: Parameters<typeof admitRelayed>[2],
): RelayRejection | undefined {
  const faults = [
    [context.reach.isCutOff, "this VM reaches no target either"],
    [isStopping, "this VM is stopping"],
    [relayedCount >= maximumRelayed, "too many relayed requests"],
  ] as const;
  const fault = faults.find(([isFault]) => isFault);
  if (fault) return { decision: RelayDecision.unable, reason: fault[1] };
  const table = context.table();
  const isSameRoute = table.routeVersion(relay.route) === relay.routeVersion &&
    table.service(relay.service) !== undefined;
  return isSameRoute ? undefined : otherTable;
}
