import {
  LinkAdmission,
  LinkFullness,
  LinkScheduler,
  RouteProfiles,
} from "@kingcupglade/link";
import type {
  LinkDecision,
  LinkObservation,
  LinkRequest,
  RouteProfile,
} from "@kingcupglade/link";
import type { Route } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import { LinkDirection } from "./link_direction.ts";
import { LinkPassage } from "./link_passage.ts";

/** Options of a {@link GatewayLink}. */
export interface GatewayLinkOptions {
  /** Rate of the link in each direction. */
  readonly megabitsPerSecond: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A request whose response is going to use the link. */
export interface LinkUser {
  readonly route: Route;
  readonly deadlineAt: number;
}

/** A request that the link can serve in time, or cannot. */
export type LinkAnswer =
  | { readonly kind: "admitted"; readonly passage: LinkPassage }
  | Extract<LinkDecision, { kind: "refused" }> & {
    readonly profile: RouteProfile;
  };

/** Use of a gateway's link by all of its exchanges. */
export class GatewayLink {
  readonly inbound: LinkScheduler;
  readonly outbound: LinkScheduler;
  readonly admission: LinkAdmission;
  readonly profiles = new RouteProfiles();
  readonly #options: GatewayLinkOptions;
  readonly #fullness: LinkFullness;
  /** Bytes since the last report, by direction. */
  readonly #smallBytes = { in: 0, out: 0 };
  readonly #largeBytes = { in: 0, out: 0 };
  #timer: NodeJS.Timeout | undefined;
  #wakeAt = Infinity;
  #isAdvancing = false;
  #isClosed = false;

  constructor(options: GatewayLinkOptions) {
    const { megabitsPerSecond, clock } = options;
    this.#options = options;
    const now = clock.now();
    this.inbound = new LinkScheduler({ megabitsPerSecond, now });
    this.outbound = new LinkScheduler({ megabitsPerSecond, now });
    const directions = { inbound: this.inbound, outbound: this.outbound };
    this.admission = new LinkAdmission(directions);
    this.#fullness = new LinkFullness({
      directions: [this.inbound, this.outbound],
      onChange: (isFull, observation) => this.#logChange(isFull, observation),
    });
  }

  get now(): number {
    return this.#options.clock.now();
  }

  /** Whether the link is full, for small messages or for large responses. */
  get isFull(): boolean {
    this.#fullness.review(this.now);
    return this.#fullness.isFull;
  }

  /**
   * Whether a second run of a route's request would only add to what waits.
   * Small responses wait only if small messages do.
   */
  delaysRepeatsOf({ name }: Route): boolean {
    const isLarge = this.profiles.of(name).upperBytes > this.inbound.sliceBytes;
    return isLarge ? this.isFull : this.#fullness.delaysSmall(this.now);
  }

  /** Admits a request, unless the link cannot serve it within its deadline. */
  admit(user: LinkUser): LinkAnswer {
    const request = this.#requestOf(user);
    const decision = this.admission.admit(request, this.now);
    if (decision.kind === "refused") {
      return { ...decision, profile: request.profile };
    }
    const { ticket } = decision;
    return {
      kind: "admitted",
      passage: new LinkPassage({ link: this, ticket, route: user.route.name }),
    };
  }

  /** Counts bytes of a small message, which is not delayed. */
  count(direction: LinkDirection, bytes: number): void {
    this.#smallBytes[direction] += bytes;
    const isInbound = direction === LinkDirection.inbound;
    (isInbound ? this.inbound : this.outbound).count(bytes, this.now);
  }

  /** Counts bytes of a large response. */
  countLarge(direction: LinkDirection, bytes: number): void {
    this.#largeBytes[direction] += bytes;
  }

  /** Grants what the rate allows now, and again when it allows more. */
  advance(): void {
    if (this.#isAdvancing || this.#isClosed) return;
    this.#isAdvancing = true;
    const now = this.now;
    const delay = Math.min(
      this.inbound.advance(now) ?? Infinity,
      this.outbound.advance(now) ?? Infinity,
    );
    this.#isAdvancing = false;
    this.#fullness.review(now);
    this.#scheduleWake(now + delay);
  }

  /** Reports the metrics, and finds out whether the link is full. */
  report(): void {
    const { metrics } = this.#options;
    for (const direction of Object.values(LinkDirection)) {
      metrics.linkBytes.inc(
        { direction, kind: "small" },
        this.#smallBytes[direction],
      );
      metrics.linkBytes.inc(
        { direction, kind: "large" },
        this.#largeBytes[direction],
      );
      this.#smallBytes[direction] = this.#largeBytes[direction] = 0;
    }
    const now = this.now;
    metrics.linkQueuedBytes.set(this.#fullness.observe(now).queuedBytes);
    this.#fullness.review(now);
  }

  /** Stops granting; what waits is ended by its exchanges. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }

  #requestOf({ route, deadlineAt }: LinkUser): LinkRequest {
    const { name, priority } = route;
    return { priority, deadlineAt, profile: this.profiles.of(name) };
  }

  // One timer for all transfers. It is left alone if it ends early enough.
  #scheduleWake(at: number): void {
    if (at >= this.#wakeAt) return;
    clearTimeout(this.#timer);
    this.#wakeAt = at;
    this.#timer = setTimeout(() => {
      this.#wakeAt = Infinity;
      this.advance();
    }, Math.ceil(at - this.now));
  }

  #logChange(isFull: boolean, observation: LinkObservation): void {
    const { logger, metrics, megabitsPerSecond } = this.#options;
    metrics.linkFull.set(isFull ? 1 : 0);
    logger.info(isFull ? "link-full" : "link-free", {
      ...observation,
      megabitsPerSecond,
      largeResponses: this.admission.largeCount,
    });
  }
}
