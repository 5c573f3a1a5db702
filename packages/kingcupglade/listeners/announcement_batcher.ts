import { create, toBinary } from "@bufbuild/protobuf";
import { RateLimiter, RecentMap } from "@kingcupglade/membership";
import type {
  Announcement,
  AnnouncementResponse,
} from "@kingcupglade/membership";
import {
  AnnounceRequestSchema,
  AnnounceResponseSchema,
} from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import type { Metrics } from "@kingcupglade/telemetry";
import {
  decodeReplies,
  encodeAnnouncement,
  encodeAnnouncementDigest,
} from "../control/announcement_codec.ts";
import { ControlUnavailableError } from "../control/errors.ts";
import type { ControlClient } from "../control/control_client.ts";

const batchDelayMilliseconds = 20;
const announceTimeoutMilliseconds = 1000;
/** Maximum number of announcements waiting for a batch. */
const maximumPendingAnnouncements = 1024;
/** Rate limits of forwarded announcements, per target and in total. */
const targetRateLimit = { burst: 10, perSecond: 5 } as const;
const totalRateLimit = { burst: 2048, perSecond: 4096 } as const;
/** Key of the only entry of the total limiter. */
const totalRateKey = "";
/** Maximum number of targets whose accepted announcement is kept. */
const maximumAcceptedTexts = 4096;

interface PendingAnnouncement {
  readonly announcement: Announcement;
  readonly resolve: (reply: AnnouncementResponse) => void;
  readonly reject: (failure: unknown) => void;
}

interface EncodedAnnouncement extends PendingAnnouncement {
  readonly text: Uint8Array<ArrayBuffer>;
}

/** More announcements arrive than this VM forwards. */
export class AnnouncementOverloadError extends Error {
  override readonly name = "AnnouncementOverloadError";
}

/** A target announces itself more often than its rate limit allows. */
export class AnnouncementRateError extends Error {
  override readonly name = "AnnouncementRateError";
}

/** Forwards targets' announcements to the control leader in batches. */
export class AnnouncementBatcher {
  readonly #control: ControlClient;
  readonly #vm: string;
  readonly #targetLimiter = new RateLimiter(targetRateLimit);
  readonly #totalLimiter = new RateLimiter(totalRateLimit);
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  /** Last encoded announcement that a leader accepted, by target. */
  readonly #acceptedTexts = new RecentMap<Uint8Array>({
    maximumSize: maximumAcceptedTexts,
  });
  #pending: PendingAnnouncement[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: {
    readonly control: ControlClient;
    readonly vm: string;
    readonly clock: Clock;
    readonly metrics: Metrics;
  }) {
    this.#control = options.control;
    this.#vm = options.vm;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  /**
   * Forwards an announcement and returns the leader's reply.
   *
   * @throws {AnnouncementRateError} when the target announces too often.
   * @throws {AnnouncementOverloadError} when too many announcements are waiting
   *   or arrive per second.
   * @throws {ControlUnavailableError} when no leader responded in time.
   */
  announce(announcement: Announcement): Promise<AnnouncementResponse> {
    const refusal = this.#checkLimits(announcement);
    if (refusal) return Promise.reject(refusal);
    return new Promise((resolve, reject) => {
      this.#pending.push({ announcement, resolve, reject });
      this.#timer ??= setTimeout(
        () => void this.#send(),
        batchDelayMilliseconds,
      );
    });
  }

  #checkLimits(announcement: Announcement): Error | null {
    const now = this.#clock.now();
    const { target } = announcement;
    if (!this.#targetLimiter.take(target, now)) {
      return new AnnouncementRateError(
        `target "${target}" announces itself more than ${targetRateLimit.perSecond} times a second; announce less often`,
      );
    }
    return this.#pending.length < maximumPendingAnnouncements &&
        this.#totalLimiter.take(totalRateKey, now)
      ? null
      : new AnnouncementOverloadError(
        "too many announcements are waiting; announce to another VM",
      );
  }

  async #send(): Promise<void> {
    this.#timer = undefined;
    const batch = this.#pending.map((each) => ({
      ...each,
      text: encodeAnnouncement(each.announcement),
    }));
    this.#pending = [];
    try {
      const unknown = await this.#sendBatch(
        batch,
        (each) => this.#textOrReference(each),
      );
      if (unknown.length === 0) return;
      const refused = await this.#sendBatch(unknown, (each) => each.text);
      const failure = new ControlUnavailableError(
        "the control leader did not accept the full announcement",
      );
      for (const each of refused) each.reject(failure);
    } catch (failure) {
      for (const each of batch) each.reject(failure);
    }
  }

  /** Sends a batch; returns announcements that the leader requests in full. */
  async #sendBatch(
    batch: readonly EncodedAnnouncement[],
    encode: (each: EncodedAnnouncement) => Uint8Array<ArrayBuffer>,
  ): Promise<readonly EncodedAnnouncement[]> {
    const replies = decodeReplies(await this.#call(batch.map(encode)));
    batch.forEach((each, index) => {
      const reply = replies[index];
      if (!reply) return;
      this.#acceptedTexts.set(each.announcement.target, each.text);
      each.resolve(reply);
    });
    return batch.filter((_, index) => !replies[index]);
  }

  async #call(
    announcements: Uint8Array<ArrayBuffer>[],
  ): Promise<readonly Uint8Array[]> {
    const message = create(AnnounceRequestSchema, {
      vm: this.#vm,
      announcements,
    });
    const response = await this.#control.call(
      (service) =>
        service.announce(message, { timeoutMs: announceTimeoutMilliseconds }),
      announceTimeoutMilliseconds,
    );
    this.#metrics.controlMessages.inc({ kind: "announce" });
    this.#metrics.controlBytes.inc(
      { kind: "announce" },
      toBinary(AnnounceRequestSchema, message).length +
        toBinary(AnnounceResponseSchema, response).length,
    );
    return response.replies;
  }

  #textOrReference({ announcement, text }: EncodedAnnouncement) {
    const accepted = this.#acceptedTexts.get(announcement.target);
    const isSame = accepted && Buffer.compare(accepted, text) === 0;
    return isSame ? encodeAnnouncementDigest(text) : text;
  }
}
