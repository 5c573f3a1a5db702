import { ItemKind } from "./types.ts";
import type { Route, StoredItem } from "./types.ts";

/** Finds the route of a request by host and path. */
export class RouteIndex {
  /** Routes by canonical host, then by path prefix. */
  readonly #routesByHost = new Map<string, Map<string, Route>>();

  constructor(items: Iterable<StoredItem>) {
    // Of two routes with the same host and prefix, the one changed last wins.
    const inOrder = [...items].sort((left, right) =>
      left.changedAt - right.changedAt
    );
    for (const { content } of inOrder) {
      if (content?.kind === ItemKind.route) this.#add(content);
    }
  }

  /** Returns the number of routes of a host. */
  countRoutes(host: string): number {
    return this.#routesByHost.get(canonicalHost(host))?.size ?? 0;
  }

  /**
   * Returns the route with the longest prefix of the path, if any. The host is
   * matched without regard to case, its port and a final dot, and the path
   * without its query.
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.#routesByHost.get(canonicalHost(host));
    if (!prefixes) return undefined;
    let end = path.indexOf("?");
    if (end < 0) end = path.length;
    // Tries each prefix that ends at a slash, the longest first.
    for (
      let slash = path.lastIndexOf("/", end - 1);
      slash >= 0;
      slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)
    ) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route) return route;
    }
    return undefined;
  }

  #add(route: Route): void {
    const host = canonicalHost(route.host);
    const prefixes = this.#routesByHost.get(host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    this.#routesByHost.set(host, prefixes);
  }
}

// A final dot marks a name as complete, and a port may be empty (RFC 9110, 7.2).
function canonicalHost(host: string): string {
  return host.replace(/:\d*$/, "").replace(/\.$/, "").toLowerCase();
}
