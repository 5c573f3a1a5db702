import type { Bundle, BundleRoute, RequestField } from "@kingcupglade/bundle";
import { ServiceKind } from "@kingcupglade/bundle";
import { Header, notRun, Reason } from "./outcome.ts";
import type { Refusal } from "./outcome.ts";

/** The parts of a request that are used for routing. */
export interface RequestHead {
  readonly method: string;
  /** Path including the query. */
  readonly path: string;
  /** Returns a header's value; undefined if absent or repeated. */
  readonly header: (name: string) => string | undefined;
  /** Returns whether a header is repeated. */
  readonly isRepeated: (name: string) => boolean;
}

/** Result of matching a request to a route. */
export interface MatchedRequest {
  readonly kind: "matched";
  readonly route: BundleRoute;
  readonly service: string;
  readonly tenant: string;
  /** Present for keyed services. */
  readonly key: string | undefined;
  readonly isIdempotent: boolean;
  /**
   * Key under which the request runs at most once; undefined if the caller sent
   * none or the request is idempotent.
   */
  readonly idempotencyKey: string | undefined;
  readonly deadlineMilliseconds: number;
}

const maximumIdempotencyKeyLength = 256;

/** Determines the route, tenant and key of a request. */
export function matchRequest(
  bundle: Bundle,
  head: RequestHead,
): MatchedRequest | Refusal {
  const route = findRoute(bundle.routes, head.path);
  if (!route) return notRun(Reason.noRoute, { status: 404 });
  const service = bundle.services.find((each) => each.name === route.service);
  const tenant = readField(route.tenant, head);
  const key = route.key && readField(route.key, head);
  if (!service || !tenant) return notRun(Reason.badRequest, { status: 400 });
  if (!bundle.tenants.some((each) => each.name === tenant)) {
    return notRun(Reason.badRequest, { status: 400 });
  }
  if (service.kind === ServiceKind.keyed && !key) {
    return notRun(Reason.badRequest, { status: 400 });
  }
  const isIdempotent = route.idempotentMethods.includes(head.method);
  const idempotencyKey = readIdempotencyKey(head);
  const deadlineMilliseconds = readDeadline(
    head,
    route.deadlineMilliseconds ?? service.deadlineMilliseconds,
  );
  if (idempotencyKey === null || deadlineMilliseconds === null) {
    return notRun(Reason.badRequest, { status: 400 });
  }
  return {
    kind: "matched",
    route,
    service: service.name,
    tenant,
    key: service.kind === ServiceKind.keyed ? key : undefined,
    isIdempotent,
    idempotencyKey: isIdempotent ? undefined : idempotencyKey,
    deadlineMilliseconds,
  };
}

function findRoute(
  routes: readonly BundleRoute[],
  path: string,
): BundleRoute | undefined {
  let best: BundleRoute | undefined;
  for (const route of routes) {
    const isLonger = !best || route.pathPrefix.length > best.pathPrefix.length;
    if (isLonger && path.startsWith(route.pathPrefix)) best = route;
  }
  return best;
}

function readField(field: RequestField, head: RequestHead): string | undefined {
  if ("value" in field) return field.value;
  if ("header" in field) return head.header(field.header);
  const query = head.path.indexOf("?");
  const path = query < 0 ? head.path : head.path.slice(0, query);
  return path.split("/")[field.pathSegment + 1] || undefined;
}

/** Returns the idempotency key; null if it is invalid. */
function readIdempotencyKey(head: RequestHead): string | undefined | null {
  if (head.isRepeated(Header.idempotencyKey)) return null;
  const key = head.header(Header.idempotencyKey);
  if (key === undefined) return undefined;
  return key.length > 0 && key.length <= maximumIdempotencyKeyLength
    ? key
    : null;
}

/**
 * Returns the deadline in milliseconds, which a caller may shorten; null if its
 * header is not a valid number.
 */
function readDeadline(
  head: RequestHead,
  maximumMilliseconds: number,
): number | null {
  if (head.isRepeated(Header.deadline)) return null;
  const text = head.header(Header.deadline);
  if (text === undefined) return maximumMilliseconds;
  if (!/^[1-9][0-9]{0,8}$/.test(text)) return null;
  return Math.min(maximumMilliseconds, Number(text));
}
