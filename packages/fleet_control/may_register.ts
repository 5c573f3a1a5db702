import type { Announcement, TargetIncarnation } from "@kingcupglade/fleet";
import { ItemKind } from "@kingcupglade/items";
import type { LeaderSessionOptions } from "./leader_session.ts";

/** Milliseconds by which the time of day of two VMs may differ. */
const maximumClockLead = 3_600_000;

/**
 * Returns whether a heartbeat may be registered: not one with an unknown service
 * or data centre, or an impossible start.
 */
export function mayRegister(
  { incarnation, service, dataCentre, isDraining }: Announcement,
  options: Pick<LeaderSessionOptions, "replica" | "regionOf" | "logger">,
): boolean {
  const { replica, regionOf, logger } = options;
  const { items } = replica.state;
  const isKnown = regionOf(dataCentre) !== "" &&
    (items.size === 0 || items.has(`${ItemKind.service}/${service}`));
  const isPossible = !isFromFuture(incarnation);
  if (!isKnown || !isPossible) {
    logger.warn("heartbeat-rejected", {
      target: incarnation.target,
      service,
      dataCentre,
      bornAt: incarnation.bornAt,
      isDraining,
    });
  }
  return isKnown && isPossible;
}

/**
 * Whether a start is impossible: later incarnations would count as earlier than
 * this one.
 */
export function isFromFuture({ bornAt }: TargetIncarnation): boolean {
  return bornAt > Date.now() + maximumClockLead;
}
