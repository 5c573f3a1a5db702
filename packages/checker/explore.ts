import { createHash } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A model of a system as a state machine with enumerable actions. */
export interface ExplorationModel<State, Action> {
  readonly initial: State;
  /** Returns the actions that are enabled in a state. */
  actions(state: State): readonly Action[];
  /** Returns the state after an action without changing the given state. */
  apply(state: State, action: Action): State;
  /** Returns text that is equal for states with the same future behaviour. */
  fingerprint(state: State): string;
  /** Returns a description of the violated invariant, or null. */
  findViolation(state: State): string | null;
}

/** Limits of an exploration. */
export interface ExplorationBounds {
  /** Maximum number of actions on one path. */
  readonly maximumDepth: number;
  readonly maximumStates: number;
}

/** Coverage and outcome of an exploration. */
export interface ExplorationResult<Action> {
  /** Number of distinct states; for a random walk, of actions taken. */
  readonly states: number;
  /** Number of actions on the longest path. */
  readonly depth: number;
  /** Depth up to which all paths were explored; null for a random walk. */
  readonly completeDepth: number | null;
  /** The first violation and its path; {@link explore} finds a shortest one. */
  readonly violation: {
    readonly message: string;
    readonly path: readonly Action[];
  } | null;
}

/** The last action of a path, linked to the actions before it. */
interface PathNode<Action> {
  readonly action: Action;
  readonly before: PathNode<Action> | null;
}

interface SearchNode<State, Action> {
  readonly state: State;
  readonly pathNode: PathNode<Action> | null;
}

/** Base64 characters that are kept of a digest: 120 bits. */
const fingerprintDigestCharacters = 20;

/** Visits all states within the bounds breadth-first. */
export function explore<State, Action>(
  model: ExplorationModel<State, Action>,
  bounds: ExplorationBounds,
): ExplorationResult<Action> {
  const visited = new Set([digest(model.fingerprint(model.initial))]);
  let frontier: SearchNode<State, Action>[] = [{
    state: model.initial,
    pathNode: null,
  }];
  for (let depth = 0;; depth += 1) {
    const next: SearchNode<State, Action>[] = [];
    const counts = { states: visited.size, depth, completeDepth: depth };
    if (depth === bounds.maximumDepth || frontier.length === 0) {
      return { ...counts, violation: null };
    }
    for (const parent of frontier) {
      for (const action of model.actions(parent.state)) {
        const state = model.apply(parent.state, action);
        const node = { state, pathNode: { action, before: parent.pathNode } };
        const message = model.findViolation(state);
        if (message !== null) {
          return {
            states: visited.size,
            depth: depth + 1,
            completeDepth: depth,
            violation: { message, path: pathOf(node.pathNode) },
          };
        }
        const id = digest(model.fingerprint(state));
        if (visited.has(id)) continue;
        visited.add(id);
        next.push(node);
        if (visited.size >= bounds.maximumStates) {
          return {
            states: visited.size,
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

/** Follows random paths, which reach greater depths than {@link explore}. */
export function randomWalk<State, Action>(
  model: ExplorationModel<State, Action>,
  options: {
    readonly seed: number;
    readonly paths: number;
    readonly maximumDepth: number;
    /** Checks the state at the end of each path. */
    readonly findFinalViolation?: (state: State) => string | null;
  },
): ExplorationResult<Action> {
  const random = xoroshiro128plus(options.seed);
  let states = 0;
  let depth = 0;
  for (let path = 0; path < options.paths; path += 1) {
    const actionsTaken: Action[] = [];
    let state = model.initial;
    while (actionsTaken.length < options.maximumDepth) {
      const actions = model.actions(state);
      if (actions.length === 0) break;
      const action = actions[uniformInt(random, 0, actions.length - 1)]!;
      state = model.apply(state, action);
      actionsTaken.push(action);
      states += 1;
      depth = Math.max(depth, actionsTaken.length);
      const message = model.findViolation(state);
      if (message !== null) {
        const violation = { message, path: actionsTaken };
        return { states, depth, completeDepth: null, violation };
      }
    }
    const finalMessage = options.findFinalViolation?.(state) ?? null;
    if (finalMessage !== null) {
      const violation = { message: finalMessage, path: actionsTaken };
      return { states, depth, completeDepth: null, violation };
    }
  }
  return { states, depth, completeDepth: null, violation: null };
}

/** Formats the result as text. */
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
    fingerprintDigestCharacters,
  );
}

function pathOf<Action>(pathNode: PathNode<Action>): readonly Action[] {
  const path: Action[] = [];
  for (let node: PathNode<Action> | null = pathNode; node; node = node.before) {
    path.unshift(node.action);
  }
  return path;
}
