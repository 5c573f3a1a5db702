import { createHash } from "node:crypto";

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
  /** Depth up to which every order was visited. */
  readonly completeDepth: number;
  /** The first violation and the shortest path to it. */
  readonly violation: {
    readonly message: string;
    readonly path: readonly Action[];
  } | null;
}

interface Visit<World, Action> {
  readonly world: World;
  readonly action: Action | null;
  readonly before: Visit<World, Action> | null;
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
    action: null,
    before: null,
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
        const visit = { world, action, before };
        const message = model.check(world);
        if (message !== null) {
          return {
            states: seen.size,
            depth: depth + 1,
            completeDepth: depth,
            violation: { message, path: pathTo(visit) },
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

/** Writes the result for people. */
export function formatExploration(
  result: ExplorationResult<unknown>,
): string {
  const { states, depth, completeDepth, violation } = result;
  const visited =
    `${states} states, every order up to ${completeDepth} actions, some up to ${depth}`;
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

function pathTo<World, Action>(
  visit: Visit<World, Action>,
): readonly Action[] {
  const path: Action[] = [];
  for (
    let each: Visit<World, Action> | null = visit;
    each?.action != null;
    each = each.before
  ) path.unshift(each.action);
  return path;
}
