import type {
  ConfigurationHistory,
  RouteService,
} from "./configuration_history.ts";
import { delay } from "./fault_injector.ts";

const minimumGapMilliseconds = 300;
const gapSpreadMilliseconds = 900;
const resendMilliseconds = 150;
/** Share of the changes that concern any place, in place of the oldest one. */
const anyPlaceShare = 0.2;
/** A change without an acknowledgement is sent this often at most. */
const maximumAttempts = 6;
/** Share of the changes that are sent although they are invalid. */
const invalidShare = 0.1;
/** Share of the changes of which an older one is sent again afterwards. */
const repeatedShare = 0.2;
/** Share of the changes whose version another operator may use as well. */
const racedShare = 0.1;
const maximumVersionStep = 3;

/** A place of the configuration: a path prefix and the names of its routes. */
export interface RoutePlace {
  readonly pathPrefix: string;
  /** A place with two names is handed from one route to the other. */
  readonly names: readonly string[];
  /** Service of the route with a shorter prefix; none by default. */
  readonly outerService?: string;
}

/** A call that changes routes, and what it says of each. */
interface RouteCall {
  readonly body: string;
  readonly changes: readonly {
    readonly route: string;
    readonly version: number;
    readonly service: RouteService;
  }[];
}

/** Options of {@link runRouteOperator}. */
export interface RouteOperatorOptions {
  readonly places: readonly RoutePlace[];
  readonly services: readonly string[];
  readonly history: ConfigurationHistory;
  /** Versions that were used, by route; operators share it. */
  readonly versions: Map<string, number>;
  /** When each place was changed last; operators share it. */
  readonly changedAt: Map<RoutePlace, number>;
  /** Sends a change to a control VM; returns the status, 0 without a response. */
  readonly send: (body: string) => Promise<number>;
  readonly createRoute: (
    route: { name: string; pathPrefix: string; service: string },
    version: number,
  ) => unknown;
  readonly random: () => number;
  readonly isStopped: () => boolean;
}

/** Adds, moves, replaces and removes routes until it is stopped. */
export async function runRouteOperator(
  options: RouteOperatorOptions,
): Promise<readonly string[]> {
  const violations: string[] = [];
  const sent: RouteCall[] = [];
  while (!options.isStopped()) {
    const { random } = options;
    if (random() < invalidShare) {
      violations.push(...await sendInvalid(options));
    } else {
      const call = createCall(options);
      sent.push(call);
      violations.push(...await sendCall(call, options));
      const older = sent[Math.floor(random() * sent.length)]!;
      if (random() < repeatedShare) {
        violations.push(...await sendCall(older, options));
      }
    }
    await delay(minimumGapMilliseconds + random() * gapSpreadMilliseconds);
  }
  return violations;
}

function createCall(options: RouteOperatorOptions): RouteCall {
  const { services, random, createRoute } = options;
  const place = choosePlace(options);
  const service = select(services, random);
  const [name, ...others] = shuffle(place.names, random);
  const isRemoval = random() < 0.3;
  const added = isRemoval ? [] : [{
    route: name!,
    version: nextVersion(name!, options),
    service,
  }];
  const removed = (isRemoval ? place.names : others).map((route) => ({
    route,
    version: nextVersion(route, options),
    service: null,
  }));
  const { pathPrefix } = place;
  return {
    changes: [...removed, ...added],
    body: JSON.stringify({
      upsert: {
        routes: added.map(({ route, version }) =>
          createRoute({ name: route, pathPrefix, service }, version)
        ),
      },
      remove: {
        routes: removed.map(({ route, version }) => ({ name: route, version })),
      },
    }),
  };
}

// A place is mostly left alone for longer than a change takes to come into force.
function choosePlace(
  { places, changedAt, random }: RouteOperatorOptions,
): RoutePlace {
  const oldest = places.toSorted((left, right) =>
    (changedAt.get(left) ?? 0) - (changedAt.get(right) ?? 0)
  )[0]!;
  const place = random() < anyPlaceShare ? select(places, random) : oldest;
  changedAt.set(place, performance.now());
  return place;
}

function nextVersion(
  route: string,
  { versions, random }: RouteOperatorOptions,
): number {
  const used = versions.get(route) ?? 0;
  const step = used > 0 && random() < racedShare
    ? 0
    : 1 + Math.floor(random() * maximumVersionStep);
  versions.set(route, used + step);
  return used + step;
}

async function sendCall(
  call: RouteCall,
  { history, send }: RouteOperatorOptions,
): Promise<readonly string[]> {
  const sentAt = performance.now();
  const changes = call.changes.map((each) => ({ ...each, sentAt }));
  for (const change of changes) history.recordChange(change);
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    const status = await send(call.body);
    if (status === 200) {
      const acknowledgedAt = performance.now();
      for (const change of changes) Object.assign(change, { acknowledgedAt });
      return [];
    }
    if (status >= 400 && status < 500) {
      return [`a valid change was refused with ${status}: ${call.body}`];
    }
    await delay(resendMilliseconds);
  }
  return [];
}

/** Sends a change of which one part is invalid; none may come into force. */
async function sendInvalid(
  options: RouteOperatorOptions,
): Promise<readonly string[]> {
  const { places, random, createRoute, versions, services } = options;
  const place = select(places, random);
  const name = select(place.names, random);
  const version = (versions.get(name) ?? 0) + 1;
  const { pathPrefix } = place;
  const body = JSON.stringify({
    upsert: {
      routes: [
        createRoute(
          { name, pathPrefix, service: select(services, random) },
          version,
        ),
        createRoute(
          { name: "invalid", pathPrefix: "/invalid/", service: "unknown" },
          1,
        ),
      ],
    },
  });
  const status = await options.send(body);
  return status === 200 ? [`an invalid change was acknowledged: ${body}`] : [];
}

function select<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)]!;
}

function shuffle<Item>(items: readonly Item[], random: () => number): Item[] {
  return items.map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
