import { Contact } from "./contact_record.ts";
import type { GatewayContacts } from "./contact_record.ts";

/** A confirmed change is in force everywhere after this time. */
const applyMilliseconds = 2000;
/** Added while a control VM is away. */
const stretchMilliseconds = 5000;
/** A gateway that has shown a version may show an older one for this long. */
const rollbackMilliseconds = 250;
/** Status of a request that no route matches. */
const unmatchedStatus = 404;
const okStatus = 200;

/** Service of a route; null if the route is removed. */
export type RouteService = string | null;

/** A change of one route that an operator sent. */
export interface SentChange {
  readonly route: string;
  readonly version: number;
  readonly service: RouteService;
  readonly sentAt: number;
  /** When it was first acknowledged; undefined if it never was. */
  acknowledgedAt?: number;
}

/** A request that shows which configuration a gateway has. */
export interface Probe {
  readonly gateway: string;
  /** Routes with the same host and path prefix, any of which may match. */
  readonly routes: readonly string[];
  /** Service that gets the request where none of these routes is. */
  readonly outerService: RouteService;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  /** Service of the target that ran it; empty if none did. */
  readonly service: string;
}

/** A request that was handled as a version says that another had replaced. */
export interface LateHandling {
  readonly gateway: string;
  readonly route: string;
  readonly sentAt: number;
  /** Time from the acknowledgement of the other version to the request. */
  readonly milliseconds: number;
}

/**
 * Judges what gateways did by the changes that operators sent, as callers and
 * operators see them.
 */
export class ConfigurationHistory {
  readonly #changes = new Map<string, SentChange[]>();
  readonly #probes: Probe[] = [];
  /** Number of probes of gateways in contact, after {@link findViolations}. */
  judgedCount = 0;

  /** Records that a change is sent. */
  recordChange(change: SentChange): void {
    const changes = this.#changes.get(change.route) ?? [];
    this.#changes.set(change.route, changes);
    changes.push(change);
  }

  recordProbe(probe: Probe): void {
    this.#probes.push(probe);
  }

  /**
   * Returns a text for each route that is older than acknowledged, missing, or
   * there although it was removed.
   *
   * @param current Versions of the routes that control returns, by name.
   */
  findLostChanges(current: ReadonlyMap<string, number>): readonly string[] {
    return [...this.#changes].flatMap(([route, changes]) => {
      const binding = this.#bindingVersion(route, Infinity);
      const version = current.get(route);
      const isAllowed = changes.some((each) =>
        each.version >= binding &&
        (each.service === null
          ? version === undefined
          : version === each.version)
      );
      return isAllowed || (binding === 0 && version === undefined) ? [] : [
        `version ${binding} of ${route} was acknowledged, but control returns ${
          version ?? "none"
        }`,
      ];
    });
  }

  /** Returns a text for each request that was handled by an outdated version. */
  findViolations(contacts: GatewayContacts): readonly string[] {
    return [
      ...this.#probes.flatMap((probe) => this.#judge(probe, contacts)),
      ...this.#findRegressions(contacts),
    ];
  }

  /** Returns the requests that were handled late, in or out of contact. */
  findLateHandlings(): readonly LateHandling[] {
    return this.#probes.filter(showsConfiguration).flatMap((probe) => {
      const { gateway, routes, sentAt } = probe;
      const acknowledged = this.#acknowledgementsOf(routes).find((at) =>
        at < sentAt && !this.#isAllowed(probe, at)
      );
      if (acknowledged === undefined) return [];
      const milliseconds = Math.round(sentAt - acknowledged);
      return [{ gateway, route: routes.join(" or "), sentAt, milliseconds }];
    });
  }

  #acknowledgementsOf(routes: readonly string[]): readonly number[] {
    return routes.flatMap((route) => this.#changes.get(route) ?? [])
      .flatMap(({ acknowledgedAt }) => acknowledgedAt ?? [])
      .sort((left, right) => left - right);
  }

  /** Whether a probe fits the versions that were acknowledged by a moment. */
  #isAllowed(probe: Probe, by: number): boolean {
    return explains(
      probe,
      probe.routes.map((route) =>
        this.#allowedServices(route, {
          version: this.#bindingVersion(route, by),
          until: probe.endedAt,
        })
      ),
    );
  }

  #judge(probe: Probe, contacts: GatewayContacts): readonly string[] {
    const { gateway, routes, sentAt, endedAt } = probe;
    if (!showsConfiguration(probe)) return [];
    const contact = contacts.contactOf(gateway, sentAt, endedAt);
    if (contact === Contact.none) return [];
    this.judgedCount += 1;
    const bound = contact === Contact.full
      ? applyMilliseconds
      : applyMilliseconds + stretchMilliseconds;
    if (this.#isAllowed(probe, sentAt - bound)) return [];
    const binding = routes.map((route) => {
      const version = this.#bindingVersion(route, sentAt - bound);
      return `${route} version ${version}`;
    });
    return [`${describe(probe)}; binding: ${binding.join(", ")}`];
  }

  // In one process, a version that was seen binds from then on.
  #findRegressions(contacts: GatewayContacts): readonly string[] {
    const violations: string[] = [];
    const seen = new Map<string, { version: number; at: number }>();
    const probes = this.#probes.filter(showsConfiguration)
      .sort((left, right) => left.sentAt - right.sentAt);
    for (const probe of probes) {
      const [route] = probe.routes;
      // Of several routes at one place it is not known which one matched.
      if (probe.routes.length !== 1 || route === undefined) continue;
      const life = contacts.lifeAt(probe.gateway, probe.sentAt);
      const key = `${probe.gateway}/${life}/${route}`;
      const known = seen.get(key);
      const version = this.#oldestExplanation(route, probe);
      if (version === undefined) continue;
      const newest = this.#newestExplanation(route, probe);
      if (
        known && newest < known.version &&
        probe.sentAt > known.at + rollbackMilliseconds
      ) {
        violations.push(
          `${describe(probe)}; it had version ${known.version} before`,
        );
      }
      if (!known || version > known.version) {
        seen.set(key, { version, at: probe.endedAt });
      }
    }
    return violations;
  }

  #bindingVersion(route: string, at: number): number {
    const acknowledged = (this.#changes.get(route) ?? []).filter((
      { acknowledgedAt },
    ) => acknowledgedAt !== undefined && acknowledgedAt <= at);
    return Math.max(0, ...acknowledged.map(({ version }) => version));
  }

  #allowedServices(
    route: string,
    { version, until }: { readonly version: number; readonly until: number },
  ): ReadonlySet<RouteService> {
    const changes = this.#changesUntil(route, until).filter((each) =>
      each.version >= version
    );
    return new Set([
      ...changes.map(({ service }) => service),
      ...(version === 0 ? [null] : []),
    ]);
  }

  #changesUntil(route: string, until: number): readonly SentChange[] {
    return (this.#changes.get(route) ?? []).filter(({ sentAt }) =>
      sentAt <= until
    );
  }

  #explanations(route: string, probe: Probe): readonly number[] {
    const none: Pick<SentChange, "version" | "service"> = {
      version: 0,
      service: null,
    };
    return [none, ...this.#changesUntil(route, probe.endedAt)]
      .filter(({ service }) => explains(probe, [new Set([service])]))
      .map(({ version }) => version);
  }

  #oldestExplanation(route: string, probe: Probe): number | undefined {
    const versions = this.#explanations(route, probe);
    return versions.length === 0 ? undefined : Math.min(...versions);
  }

  #newestExplanation(route: string, probe: Probe): number {
    return Math.max(...this.#explanations(route, probe));
  }
}

// Other responses do not tell which route was found.
function showsConfiguration({ status, service }: Probe): boolean {
  return status === unmatchedStatus || (status === okStatus && service !== "");
}

function explains(
  { status, service, outerService }: Probe,
  allowed: readonly ReadonlySet<RouteService>[],
): boolean {
  const mayBeAbsent = allowed.every((services) => services.has(null));
  const found = status === unmatchedStatus ? null : service;
  return mayBeAbsent && found === outerService ||
    found !== null && allowed.some((services) => services.has(found));
}

function describe(probe: Probe): string {
  const { gateway, routes, sentAt, status, service } = probe;
  const outcome = status === okStatus
    ? `run by ${service}`
    : `status ${status}`;
  const at = (sentAt / 1000).toFixed(3);
  return `at ${at} s: ${gateway} handled a request for ${
    routes.join(" or ")
  } as an older version says (${outcome})`;
}
