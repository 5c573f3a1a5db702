import {
  HeldBytes,
  LinkAdmission,
  LinkFullness,
  LinkScheduler,
  RouteProfiles,
} from "@kingcupglade/link";
import type {
  LetGo,
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

/**
 * Bytes that all exchanges hold for slow callers and targets: an eighth of a VM
 * of 250 MB, and more than a link of 2.52 Mbit/s carries in a minute.
 */
const defaultHeldBytes = 32 * 1024 * 1024;

/** Size of a datagram about slots, with its headers, about. */
const datagramBytes = 200;

/** Options of a {@link GatewayLink}. */
export interface GatewayLinkOptions {
  /** Rate of the link in each direction. */
  readonly megabitsPerSecond: number;
  /** Bytes held for slow callers and targets. @default 32 MiB */
  readonly maximumHeldBytes?: number;
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
  readonly held: HeldBytes;
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
    this.held = new HeldBytes({
      maximumBytes: options.maximumHeldBytes ?? defaultHeldBytes,
    });
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

  /** Returns the link of a gateway, if its rate is known. */
  static ofRate(
    megabitsPerSecond: number | undefined,
    options: Omit<GatewayLinkOptions, "megabitsPerSecond">,
  ): GatewayLink | undefined {
    if (megabitsPerSecond === undefined) return undefined;
    return new GatewayLink({ ...options, megabitsPerSecond });
  }

  get now(): number {
    return this.#options.clock.now();
  }

  /** Whether the link is full, for small messages or for large responses. */
  get isFull(): boolean {
    this.#fullness.review(this.now);
    return this.#fullness.isFull;
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

  /** Counts a datagram about slots. */
  countDatagram(direction: LinkDirection): void {
    this.count(direction, datagramBytes);
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

  /** Logs and counts an exchange that is ended to make room for others. */
  recordLetGo(route: string, { heldBytes, idleMilliseconds }: LetGo): void {
    const { logger, metrics } = this.#options;
    metrics.exchangesLetGo.inc();
    logger.warn("exchange-let-go", {
      route,
      heldBytes,
      idleMilliseconds: Math.round(idleMilliseconds),
      totalBytes: this.held.total,
    });
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
