import { ItemKind } from "./types.ts";
import { findKeyListFaults } from "./workspace_keys.ts";
import type {
  ItemContent,
  Limits,
  Route,
  Service,
  Workspace,
} from "./types.ts";

/** An objective that exceeds the time-out by this much must be a mistake. */
const maximumObjectiveExcessMilliseconds = 60_000;

/** Targets receive the name of a workspace as the value of a header. */
// deno-lint-ignore no-control-regex
const unsendableName = /[\u0000-\u001f\u007f]|^\s|\s$/;

/** Returns the faults of a single item; empty if there are none. */
export function checkContent(content: ItemContent): readonly string[] {
  switch (content.kind) {
    case ItemKind.route:
      return checkRoute(content);
    case ItemKind.service:
      return checkService(content);
    case ItemKind.limits:
      return checkLimits(content);
    case ItemKind.workspace:
      return checkWorkspace(content);
  }
}

function checkRoute(route: Route): readonly string[] {
  const totalWeight = route.parts.reduce((sum, { weight }) => sum + weight, 0);
  const excess = route.objectiveMilliseconds - route.timeoutMilliseconds;
  return faultsOf(`route "${route.name}"`, [
    [route.name === "", "has no name"],
    [route.host === "", "has an empty host"],
    [
      !route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/"),
      `has the path prefix "${route.pathPrefix}", which must begin and end with a slash`,
    ],
    [
      !(totalWeight > 0) || route.parts.some(({ weight }) => !(weight >= 0)),
      "has a negative weight or no weight above 0",
    ],
    [totalWeight === Infinity, "has weights that are too large to add up"],
    [!(route.timeoutMilliseconds > 0), "has a time-out that is not above 0"],
    [
      !(excess < maximumObjectiveExcessMilliseconds),
      "has an objective that exceeds its time-out by a minute or more",
    ],
    [!(route.maximumTargets >= 1), "allows no targets"],
  ]);
}

function checkService(service: Service): readonly string[] {
  return faultsOf(`service "${service.name}"`, [
    [service.name === "", "has no name"],
    [!(service.maximumConnections >= 1), "allows no connections"],
    [!(service.coldPerSecond >= 0), "has a negative rate for cold targets"],
  ]);
}

function checkLimits(limits: Limits): readonly string[] {
  return faultsOf("limits", [
    [
      !(limits.maximumHeaderBytes > 0),
      "have a maximum header size that is not above 0",
    ],
    [!(limits.maximumBodyBytes >= 0), "have a negative maximum body size"],
    [
      !(limits.headerTimeoutMilliseconds > 0),
      "have a header time-out that is not above 0",
    ],
    [
      !(limits.idleTimeoutMilliseconds > 0),
      "have an idle time-out that is not above 0",
    ],
  ]);
}

function checkWorkspace(workspace: Workspace): readonly string[] {
  return faultsOf(`workspace "${workspace.name}"`, [
    [workspace.name === "", "has no name"],
    [
      unsendableName.test(workspace.name),
      "has a name with control characters, or white space around it, which targets cannot receive in a header",
    ],
    [
      workspace.priority !== null && !Number.isFinite(workspace.priority),
      "has a priority that is not a number",
    ],
    ...findKeyListFaults(workspace).map((fault) => [true, fault] as const),
    [
      !(workspace.ratePerSecond >= 0),
      "has a rate that is negative or not a number",
    ],
    [!(workspace.burst >= 0), "has a burst that is negative or not a number"],
  ]);
}

function faultsOf(
  item: string,
  checks: readonly (readonly [boolean, string])[],
): readonly string[] {
  return checks.filter(([isFault]) => isFault).map(([, text]) =>
    `${item} ${text}`
  );
}
