/**
 * Membership: announcements of targets, and leases of targets and VMs.
 *
 * @module
 */
export {
  AnnouncementError,
  parseAnnouncement,
  TargetCondition,
} from "./announcement.ts";
export type { Announcement, AnnouncementResponse } from "./announcement.ts";
export { LeaseTable } from "./lease_table.ts";
export type { Lease, LeaseOptions } from "./lease_table.ts";
export { RateLimiter } from "./rate_limiter.ts";
export type { RateLimit } from "./rate_limiter.ts";
export { RecentMap } from "./recent_map.ts";
