import type { TargetIncarnation, TargetView } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { TargetResponseHead } from "../callers/caller_wire.ts";
import type { GatewayTable } from "../table/gateway_table.ts";
import { incarnationId } from "./target_end_detector.ts";

/** A target cannot ask for a longer pause. */
const maximumPauseMilliseconds = 86_400_000;
/**
 * Share of a pause, up to a maximum, by which it is extended at random, so that
 * gateways do not return to the target at the same time.
 */
const maximumExtensionShare = 0.2;
const maximumExtensionMilliseconds = 500;

/** A target that the table does not list may be listed again within this time. */
const absenceMilliseconds = 600_000;

interface Notice {
  readonly incarnation: TargetIncarnation;
  /** When the table ceased to list the target; Infinity while it does. */
  absentSince: number;
  isLeaving: boolean;
  pausedUntil: number;
}

/** What a gateway has to know to choose a target. */
export type TargetAvailability = Pick<
  TargetNotices,
  "mayUse" | "pauseMilliseconds"
>;

/**
 * What targets said in their responses to this gateway: that they leave, or that
 * they want no requests from it for a time. A notice holds for one incarnation.
 */
export class TargetNotices {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #random: () => number;
  /** Notices by the ID of the incarnation. */
  readonly #notices = new Map<string, Notice>();
  /** Leaving targets that have not been reported to the leader. */
  readonly #unreported = new Set<string>();

  constructor(options: {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Returns a number between 0 and 1. */
    readonly random: () => number;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#metrics = options.metrics;
    this.#random = options.random;
  }

  /** Records what the head of a response says. */
  record(
    target: TargetView,
    head: TargetResponseHead,
    /** ID of the request that was answered; empty for a probe. */
    request: string,
  ): void {
    const { isLeaving, pauseMilliseconds, hasUnreadableNotice } = head;
    if (hasUnreadableNotice) this.#count("unreadable", target, request);
    if (isLeaving) this.#recordLeaving(target, request);
    if (pauseMilliseconds) {
      this.#recordPause(target, pauseMilliseconds, request);
    }
  }

  /** Whether requests may be sent to a target now. */
  mayUse(target: TargetView): boolean {
    const notice = this.#notices.get(incarnationId(target));
    return !notice ||
      (!notice.isLeaving && notice.pausedUntil <= this.#clock.now());
  }

  /** Returns the time until the pause of a target ends; 0 if there is none. */
  pauseMilliseconds(target: TargetView): number {
    const notice = this.#notices.get(incarnationId(target));
    if (!notice || notice.isLeaving) return 0;
    return Math.max(0, notice.pausedUntil - this.#clock.now());
  }

  /** Returns the names of targets to which requests may not be sent. */
  unusable(): readonly string[] {
    const now = this.#clock.now();
    return [...this.#notices.values()].filter((notice) =>
      notice.isLeaving || notice.pausedUntil > now
    ).map(({ incarnation }) => incarnation.target);
  }

  /**
   * Returns the leaving targets that the leader has not been told of; all of
   * them for a new leader.
   */
  takeLeaving(isNewLeader: boolean): readonly TargetIncarnation[] {
    const rows = [...this.#notices].filter(([id, { isLeaving }]) =>
      isLeaving && (isNewLeader || this.#unreported.has(id))
    ).map(([, { incarnation }]) => incarnation);
    this.#unreported.clear();
    return rows;
  }

  /**
   * Forgets incarnations that the table lists a successor of, or has not listed
   * for long. A new leader lists a target only once it has heard from it.
   */
  applyTable(table: Pick<GatewayTable, "target">): void {
    const now = this.#clock.now();
    for (const [id, notice] of this.#notices) {
      const { target, bornAt } = notice.incarnation;
      const listed = table.target(target);
      const isListed = listed?.bornAt === bornAt;
      notice.absentSince = isListed ? Infinity : Math.min(
        notice.absentSince,
        now,
      );
      const hasSuccessor = listed !== undefined && listed.bornAt > bornAt;
      const isAbsentLong = now - notice.absentSince > absenceMilliseconds;
      if (!hasSuccessor && !isAbsentLong) continue;
      this.#notices.delete(id);
      this.#unreported.delete(id);
    }
  }

  #recordLeaving(target: TargetView, request: string): void {
    const notice = this.#noticeOf(target);
    if (notice.isLeaving) return;
    notice.isLeaving = true;
    this.#unreported.add(incarnationId(target));
    this.#count("leaving", target, request);
  }

  #recordPause(
    target: TargetView,
    milliseconds: number,
    request: string,
  ): void {
    const notice = this.#noticeOf(target);
    const pause = Math.min(milliseconds, maximumPauseMilliseconds);
    const extension = this.#random() * Math.min(
      maximumExtensionMilliseconds,
      pause * maximumExtensionShare,
    );
    const until = this.#clock.now() + pause + extension;
    notice.pausedUntil = Math.max(notice.pausedUntil, until);
    this.#count("paused", target, request, Math.round(pause));
  }

  #noticeOf(target: TargetView): Notice {
    const id = incarnationId(target);
    const known = this.#notices.get(id);
    if (known) return known;
    const { name, bornAt } = target;
    const notice = {
      incarnation: { target: name, bornAt },
      absentSince: Infinity,
      isLeaving: false,
      pausedUntil: -Infinity,
    };
    this.#notices.set(id, notice);
    return notice;
  }

  #count(
    notice: "leaving" | "paused" | "unreadable",
    { name, bornAt }: TargetView,
    request: string,
    milliseconds: number | null = null,
  ): void {
    this.#metrics.targetNotices.inc({ notice });
    this.#logger.info("target-notice", {
      target: name,
      bornAt,
      notice,
      request,
      milliseconds,
    });
  }
}
