import type { History } from "./history.ts";

/** Options of a fake target. */
export interface FakeTargetOptions {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Listen address, as IP:PORT. */
  readonly address: string;
  /** Addresses where VMs accept announcements, tried in turn. */
  readonly announceAddresses: readonly string[];
  readonly secret: string;
  readonly history: History;
  /** @default 6 */
  readonly slots?: number;
  /** @default 110 */
  readonly connections?: number;
  /** @default 1 */
  readonly coldSlots?: number;
  /** @default true */
  readonly checksFences?: boolean;
  /** @default "serving" */
  readonly condition?: FakeCondition;
  /** Duration of a request, in milliseconds. @default 2 */
  readonly serviceMilliseconds?: number;
  /** Whether a disconnect of the sender cancels its request. @default false */
  readonly cancelsOnDisconnect?: boolean;
  /** Round-trip delay in milliseconds to a sender's IP. @default 0 */
  readonly roundTripMilliseconds?: (sender: string) => number;
  /**
   * Resolves when a request from a sender's IP is delivered; returns undefined
   * if that is now. @default delivered immediately
   */
  readonly untilDelivered?: (sender: string) => Promise<void> | undefined;
}

/** Conditions that a fake target can announce. */
export type FakeCondition = "cold" | "serving" | "draining" | "leaving";
