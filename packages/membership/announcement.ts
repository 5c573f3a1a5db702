import { z } from "zod";

/** Readiness of a target to accept requests. */
export const TargetCondition = {
  /** Accepts at most `coldSlots` concurrent requests. */
  cold: "cold",
  serving: "serving",
  /** Finishes its requests and accepts no new ones. */
  draining: "draining",
  /** Draining before it shuts down permanently. */
  leaving: "leaving",
  /** The lease has lapsed. Set by the control plane, never announced. */
  lost: "lost",
} as const;
export type TargetCondition =
  typeof TargetCondition[keyof typeof TargetCondition];

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be 1 to 63 lower-case letters, digits or hyphens",
);

const announcementSchema = z.strictObject({
  target: nameSchema,
  /** Generated at each start of the target's process. */
  boot: z.string().regex(/^[A-Za-z0-9-]{1,64}$/),
  service: nameSchema,
  dataCentre: nameSchema,
  /**
   * Address at which the target accepts requests and grants, such as
   * `http://10.0.0.7:8080`.
   */
  address: z.string().regex(
    /^https?:\/\/[0-9a-f.:[\]]+:\d{1,5}$/,
    "must be http(s)://IP:PORT",
  ),
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(100_000),
  /** Maximum number of concurrent requests while cold. @default 1 */
  coldSlots: z.number().int().min(1).max(10_000).default(1),
  /** Whether requests with an old fencing epoch are refused. @default true */
  checksFences: z.boolean().default(true),
  condition: z.enum(["cold", "serving", "draining", "leaving"]),
  /**
   * Version and sequence number of the push of grants that the target acts on;
   * both 0 if it acts on none. If absent, the control plane does not know.
   */
  actsOn: z.strictObject({
    version: z.number().int().min(0),
    sequence: z.number().int().min(0),
  }).optional(),
  /** The target's own estimate of its load, 0 to 1; only a hint. */
  load: z.number().min(0).max(1).optional(),
});

/** A target's message about itself, sent periodically to renew its lease. */
export type Announcement = z.output<typeof announcementSchema>;

/** Thrown for an invalid announcement. */
export class AnnouncementError extends Error {
  override readonly name = "AnnouncementError";
}

/** Response to an announcement. */
export interface AnnouncementResponse {
  readonly accepted: boolean;
  /** Reason for a refusal; empty if accepted. */
  readonly reason: string;
  /**
   * Duration of the lease, which the target counts from the moment it sent the
   * announcement.
   */
  readonly leaseMilliseconds: number;
  /**
   * The first push of grants that is valid under a lease that begins with this
   * response. An earlier push may grant ranges that now belong to another
   * target.
   */
  readonly grantsFrom: { readonly version: number; readonly sequence: number };
}

/**
 * Validates an announcement and applies defaults.
 *
 * @throws {AnnouncementError} listing each invalid field.
 */
export function parseAnnouncement(document: unknown): Announcement {
  const result = announcementSchema.safeParse(document);
  if (result.success) return result.data;
  throw new AnnouncementError(
    result.error.issues.map((issue) =>
      `${issue.path.join(".") || "announcement"}: ${issue.message}`
    ).join("; "),
  );
}
