import { GatewayModel } from "./gateway_model.ts";
import type { Attempt, LinkPolicy, Operation } from "./gateway_model.ts";
import { Simulation } from "./link_model.ts";

/** Responses of one route. */
export interface RouteLoad {
  readonly route: string;
  /** @default 1 */
  readonly priority?: number;
  readonly perSecond: number;
  /** Returns the size of a response, by a number between 0 and 1. */
  readonly bytes: (random: number) => number;
  readonly deadlineMilliseconds: number;
}

/** A load of one gateway, with a burst in its middle. */
export interface LinkLoad {
  readonly megabitsPerSecond: number;
  readonly routes: readonly RouteLoad[];
  /** Factor of the load in the burst. */
  readonly burstFactor: number;
  readonly burstMilliseconds: number;
}

/** Share of operations that were served within their deadlines. */
export interface LinkService {
  readonly before: number;
  readonly during: number;
  /** Of operations that began between 2 s and 6 s after the burst. */
  readonly after: number;
  /** Of small responses, over all the time. */
  readonly small: number;
}

const burstStartsAt = 8000;
const warmUpMilliseconds = 1000;
const recoveryMilliseconds = 2000;
const afterMilliseconds = 4000;
const meanServiceMilliseconds = 60;
/** A caller tries this often again, refused or not. */
const maximumRetries = 3;

/** Runs a load against a policy, and returns what was served. */
export function runLoad(
  load: LinkLoad,
  createPolicy: (
    simulation: Simulation,
    random: () => number,
  ) => LinkPolicy,
  seed: number,
): LinkService {
  const random = seededRandom(seed);
  const simulation = new Simulation();
  const gateway = new GatewayModel({
    simulation,
    megabitsPerSecond: load.megabitsPerSecond,
    serviceMilliseconds: () =>
      -Math.log(1 - random()) * meanServiceMilliseconds,
  });
  gateway.policy = createPolicy(simulation, random);
  const operations: Operation[] = [];
  const burstEndsAt = burstStartsAt + load.burstMilliseconds;
  const endsAt = burstEndsAt + recoveryMilliseconds + afterMilliseconds;
  for (const route of load.routes) {
    const arrive = () => {
      if (simulation.now > endsAt) return;
      const operation: Operation = {
        route: route.route,
        bytes: Math.round(route.bytes(random())),
        priority: route.priority ?? 1,
        startedAt: simulation.now,
        deadlineAt: simulation.now + route.deadlineMilliseconds,
        isServed: false,
      };
      operations.push(operation);
      attempt({ simulation, gateway }, operation, maximumRetries);
      schedule();
    };
    const schedule = () => {
      const isBurst = simulation.now >= burstStartsAt &&
        simulation.now < burstEndsAt;
      const rate = route.perSecond * (isBurst ? load.burstFactor : 1);
      simulation.schedule(-Math.log(1 - random()) * 1000 / rate, arrive);
    };
    schedule();
  }
  simulation.runUntil(endsAt + 10_000);
  const share = (from: number, until: number) =>
    shareOf(
      operations,
      ({ startedAt }) => startedAt >= from && startedAt < until,
    );
  return {
    before: share(warmUpMilliseconds, burstStartsAt),
    during: share(burstStartsAt, burstEndsAt),
    after: share(burstEndsAt + recoveryMilliseconds, endsAt),
    small: shareOf(operations, ({ bytes }) => bytes <= 16 * 1024),
  };
}

function shareOf(
  operations: readonly Operation[],
  belongs: (operation: Operation) => boolean,
): number {
  const all = operations.filter(belongs);
  return all.filter(({ isServed }) => isServed).length /
    Math.max(1, all.length);
}

// A refused caller waits as it is told. One whose deadline has passed tries
// again at once: it no longer counts as served, but it uses the link.
function attempt(
  context: { readonly simulation: Simulation; readonly gateway: GatewayModel },
  operation: Operation,
  retries: number,
): void {
  const { simulation, gateway } = context;
  const timeoutMilliseconds = operation.deadlineAt - operation.startedAt;
  const isLate = simulation.now >= operation.deadlineAt;
  const deadlineAt = isLate
    ? simulation.now + timeoutMilliseconds
    : operation.deadlineAt;
  const end = (each: Attempt) => {
    each.isOver = true;
    for (const run of each.onEnd.splice(0)) run();
  };
  const current: Attempt = {
    ...operation,
    deadlineAt,
    isOver: false,
    onEnd: [],
    finished: (result) => {
      end(current);
      if (result === "served") {
        if (simulation.now <= operation.deadlineAt) operation.isServed = true;
      } else if (retries > 0) {
        simulation.schedule(
          result === "lost" ? 0 : result,
          () => attempt(context, operation, retries - 1),
        );
      }
    },
  };
  simulation.schedule(deadlineAt - simulation.now, () => {
    if (!current.isOver) current.finished("lost");
  });
  gateway.handle(current);
}

function seededRandom(seed: number): () => number {
  let state = seed * 2654435761 >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}
