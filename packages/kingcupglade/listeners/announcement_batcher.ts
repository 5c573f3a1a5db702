import type { Announcement, AnnouncementReply } from "@kingcupglade/membership";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import type { ControlClient } from "../control/control_client.ts";

const batchMilliseconds = 20;
const announceTimeoutMilliseconds = 1000;
/** Announcements waiting for one batch at most. */
const maximumBatch = 1024;

interface WaitingAnnouncement {
  readonly announcement: Announcement;
  readonly resolve: (reply: AnnouncementReply) => void;
  readonly reject: (failure: unknown) => void;
}

/** More announcements arrived than the VM passes on at once. */
export class AnnouncementOverloadError extends Error {
  override readonly name = "AnnouncementOverloadError";
}

/** Passes targets' announcements to the control leader in batches. */
export class AnnouncementBatcher {
  readonly #control: ControlClient;
  readonly #vm: string;
  #waiting: WaitingAnnouncement[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: {
    readonly control: ControlClient;
    readonly vm: string;
  }) {
    this.#control = options.control;
    this.#vm = options.vm;
  }

  /**
   * Passes an announcement on and returns the leader's reply.
   *
   * @throws {AnnouncementOverloadError} when too many are waiting.
   * @throws {ControlUnavailableError} when no leader answered in time.
   */
  announce(announcement: Announcement): Promise<AnnouncementReply> {
    if (this.#waiting.length >= maximumBatch) {
      return Promise.reject(
        new AnnouncementOverloadError("too many announcements are waiting"),
      );
    }
    return new Promise((resolve, reject) => {
      this.#waiting.push({ announcement, resolve, reject });
      this.#timer ??= setTimeout(() => void this.#send(), batchMilliseconds);
    });
  }

  async #send(): Promise<void> {
    this.#timer = undefined;
    const batch = this.#waiting;
    this.#waiting = [];
    try {
      const answer = await this.#control.call(
        (service) =>
          service.announce({
            vm: this.#vm,
            announcements: batch.map((each) => encodeValue(each.announcement)),
          }, { timeoutMs: announceTimeoutMilliseconds }),
        announceTimeoutMilliseconds,
      );
      batch.forEach((each, index) =>
        each.resolve(decodeValue<AnnouncementReply>(answer.replies[index]!))
      );
    } catch (failure) {
      for (const each of batch) each.reject(failure);
    }
  }
}
