import { createHash } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A system whose every step can be listed. */
export interface ExplorationModel<World, Action> {
  readonly initial: World;
  /** Everything that may happen next. */
  actions(world: World): readonly Action[];
  /** The world after an action; the one before it is not changed. */
  apply(world: World, action: Action): World;
  /** Text that is equal for worlds with the same future. */
  fingerprint(world: World): string;
  /** What is wrong with the world, or null. */
  check(world: World): string | null;
}

/** How far an exploration may go. */
export interface ExplorationBounds {
  /** Actions on one path at most. */
  readonly maximumDepth: number;
  readonly maximumStates: number;
}

/** What an exploration visited. */
export interface ExplorationResult<Action> {
  readonly states: number;
  /** Actions on the longest path. */
  readonly depth: number;
  /** Depth up to which every order was visited; null on random paths. */
  readonly completeDepth: number | null;
  /** The first violation and the shortest path to it. */
  readonly violation: {
    readonly message: string;
    readonly path: readonly Action[];
  } | null;
}

/** The way to a world; worlds that were gone through are not kept. */
interface Trail<Action> {
  readonly action: Action;
  readonly before: Trail<Action> | null;
}

interface Visit<World, Action> {
  readonly world: World;
  readonly trail: Trail<Action> | null;
}

const digestCharacters = 20;

/** Visits every state within the bounds, the nearest ones first. */
export function explore<World, Action>(
  model: ExplorationModel<World, Action>,
  bounds: ExplorationBounds,
): ExplorationResult<Action> {
  const seen = new Set([digest(model.fingerprint(model.initial))]);
  let frontier: Visit<World, Action>[] = [{
    world: model.initial,
    trail: null,
  }];
  for (let depth = 0;; depth += 1) {
    const next: Visit<World, Action>[] = [];
    const counts = { states: seen.size, depth, completeDepth: depth };
    if (depth === bounds.maximumDepth || frontier.length === 0) {
      return { ...counts, violation: null };
    }
    for (const before of frontier) {
      for (const action of model.actions(before.world)) {
        const world = model.apply(before.world, action);
        const visit = { world, trail: { action, before: before.trail } };
        const message = model.check(world);
        if (message !== null) {
          return {
            states: seen.size,
            depth: depth + 1,
            completeDepth: depth,
            violation: { message, path: pathOf(visit.trail) },
          };
        }
        const id = digest(model.fingerprint(world));
        if (seen.has(id)) continue;
        seen.add(id);
        next.push(visit);
        if (seen.size >= bounds.maximumStates) {
          return {
            states: seen.size,
            depth: depth + 1,
            completeDepth: depth,
            violation: null,
          };
        }
      }
    }
    frontier = next;
  }
}

/**
 * Follows random paths, which go deeper than {@link explore} can. The states
 * counted are the actions taken.
 */
export function wander<World, Action>(
  model: ExplorationModel<World, Action>,
  options: {
    readonly seed: number;
    readonly paths: number;
    readonly maximumDepth: number;
    /** What is wrong with the world at the end of a path, or null. */
    readonly checkEnd?: (world: World) => string | null;
  },
): ExplorationResult<Action> {
  const random = xoroshiro128plus(options.seed);
  let states = 0;
  let depth = 0;
  for (let path = 0; path < options.paths; path += 1) {
    const taken: Action[] = [];
    let world = model.initial;
    while (taken.length < options.maximumDepth) {
      const actions = model.actions(world);
      if (actions.length === 0) break;
      const action = actions[uniformInt(random, 0, actions.length - 1)]!;
      world = model.apply(world, action);
      taken.push(action);
      states += 1;
      depth = Math.max(depth, taken.length);
      const message = model.check(world);
      if (message !== null) {
        const violation = { message, path: taken };
        return { states, depth, completeDepth: null, violation };
      }
    }
    const atEnd = options.checkEnd?.(world) ?? null;
    if (atEnd !== null) {
      const violation = { message: atEnd, path: taken };
      return { states, depth, completeDepth: null, violation };
    }
  }
  return { states, depth, completeDepth: null, violation: null };
}

/** Writes the result for people. */
export function formatExploration(
  result: ExplorationResult<unknown>,
): string {
  const { states, depth, completeDepth, violation } = result;
  const visited = completeDepth === null
    ? `${states} actions on random paths of up to ${depth}`
    : `${states} states, every order up to ${completeDepth} actions, some up to ${depth}`;
  if (!violation) return visited;
  const path = violation.path.map((action) => `    ${JSON.stringify(action)}`);
  return [`${violation.message} (${visited})`, ...path].join("\n");
}

function digest(fingerprint: string): string {
  return createHash("sha1").update(fingerprint).digest("base64").slice(
    0,
    digestCharacters,
  );
}

function pathOf<Action>(trail: Trail<Action>): readonly Action[] {
  const path: Action[] = [];
  for (let each: Trail<Action> | null = trail; each; each = each.before) {
    path.unshift(each.action);
  }
  return path;
}
