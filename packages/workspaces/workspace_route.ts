import type { Route, Workspace } from "@kingcupglade/items";

/** Result of {@link routeForWorkspace}. */
export type WorkspaceRoute =
  | { readonly kind: "found"; readonly route: Route }
  /** The home regions of the route and of the workspace have none in common. */
  | { readonly kind: "noRegion" };

/**
 * Returns the route with the workspace's priority in place of its own, and the
 * home regions that both allow.
 */
export function routeForWorkspace(
  route: Route,
  workspace: Pick<Workspace, "priority" | "homeRegions">,
): WorkspaceRoute {
  const priority = workspace.priority ?? route.priority;
  const homeRegions = commonRegions(route.homeRegions, workspace.homeRegions);
  if (homeRegions === undefined) return { kind: "noRegion" };
  return { kind: "found", route: { ...route, priority, homeRegions } };
}

// An empty list stands for all regions, so an empty intersection is no list.
function commonRegions(
  left: readonly string[],
  right: readonly string[],
): readonly string[] | undefined {
  if (left.length === 0) return right;
  if (right.length === 0) return left;
  const common = left.filter((each) => right.includes(each));
  return common.length === 0 ? undefined : common;
}
