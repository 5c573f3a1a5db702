import type { TargetIncarnation } from "./types.ts";

/** Range of positions that a target holds or still works on. */
export interface HeldRange {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
}

/**
 * Range of positions that a target released since its last acknowledged
 * heartbeat.
 */
export interface FreedRange {
  readonly from: number;
  readonly to: number;
  readonly handover: string;
}

/** State that a target reports in a heartbeat. */
export interface Announcement {
  readonly incarnation: TargetIncarnation;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the target remains cold; 0 if it is not. */
  readonly coldMilliseconds: number;
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number;
  readonly holds: readonly HeldRange[];
  readonly freed: readonly FreedRange[];
}

/** Range that a target holds from now on. */
export interface GrantedRange extends HeldRange {
  /** State handed over by the previous holder; empty if there is none. */
  readonly handover: string;
}

/** Response to a heartbeat. */
export interface AnnouncementResponse {
  /** Address for later heartbeats, as IP:PORT. */
  readonly address?: string;
  /** Complete set of ranges to hold; absent if no hold is renewed. */
  readonly grants?: readonly GrantedRange[];
  /** Duration of the hold, counted from the time the heartbeat was sent. */
  readonly holdMilliseconds?: number;
}
