import { createHash } from "node:crypto";
import {
  AnnouncementError,
  parseAnnouncement,
  RecentMap,
} from "@kingcupglade/membership";
import type {
  Announcement,
  AnnouncementResponse,
} from "@kingcupglade/membership";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";

/** Cache size; equals the maximum number of targets that control tracks. */
const maximumCachedAnnouncements = 4096;
const digestBytes = 8;
const noBytes = new Uint8Array();

/** Encodes an announcement without its load figures, which control ignores. */
export function encodeAnnouncement(
  announcement: Announcement,
): Uint8Array<ArrayBuffer> {
  const { load: _load, ...withoutLoad } = announcement;
  return encodeValue(withoutLoad);
}

/** Encodes the digest that is sent in place of an announcement sent before. */
export function encodeAnnouncementDigest(
  encoded: Uint8Array<ArrayBuffer>,
): Uint8Array<ArrayBuffer> {
  return encodeValue(computeDigest(encoded));
}

/**
 * Caches announcements by the digest of their encoding, whichever VM sent them.
 * A VM may send the digest instead of an announcement; if the digest is
 * unknown, the VM is requested to send the whole announcement.
 */
export class AnnouncementCache {
  readonly #cached = new RecentMap<Announcement>({
    maximumSize: maximumCachedAnnouncements,
  });

  /**
   * Decodes an announcement, or looks it up by its digest. Returns undefined
   * for an unknown digest.
   *
   * @throws {AnnouncementError} when the bytes are neither an announcement nor a
   * digest.
   */
  read(bytes: Uint8Array): Announcement | undefined {
    const value = decodeValue<unknown>(bytes);
    if (value instanceof Uint8Array) return this.#find(value);
    const announcement = parseAnnouncement(value);
    this.#cached.set(toHexKey(computeDigest(bytes)), announcement);
    return announcement;
  }

  #find(digest: Uint8Array): Announcement | undefined {
    if (digest.length !== digestBytes) {
      throw new AnnouncementError(
        "the announcement digest has the wrong length",
      );
    }
    const key = toHexKey(digest);
    const known = this.#cached.get(key);
    if (known) this.#cached.set(key, known);
    return known;
  }
}

/**
 * Encodes the replies to a batch. Undefined requests the whole announcement; a
 * reply equal to the preceding one is encoded as zero bytes.
 */
export function encodeReplies(
  replies: readonly (AnnouncementResponse | undefined)[],
): Uint8Array<ArrayBuffer>[] {
  let previous = noBytes;
  return replies.map((reply) => {
    const bytes = encodeValue(reply ?? null);
    const isRepeated = Buffer.compare(bytes, previous) === 0;
    previous = bytes;
    return isRepeated ? noBytes : bytes;
  });
}

/** Decodes the output of {@link encodeReplies}. */
export function decodeReplies(
  encoded: readonly Uint8Array[],
): readonly (AnnouncementResponse | undefined)[] {
  let previous: AnnouncementResponse | undefined;
  return encoded.map((bytes) => {
    if (bytes.length > 0) {
      previous = decodeValue<AnnouncementResponse | null>(bytes) ?? undefined;
    }
    return previous;
  });
}

function computeDigest(bytes: Uint8Array): Uint8Array {
  return createHash("sha256").update(bytes).digest().subarray(0, digestBytes);
}

function toHexKey(digest: Uint8Array): string {
  return Buffer.from(digest).toString("hex");
}
