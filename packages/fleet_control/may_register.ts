import type { Announcement } from "@kingcupglade/fleet";
import { ItemKind } from "@kingcupglade/items";
import type { LeaderSessionOptions } from "./leader_session.ts";

/** Milliseconds by which the time of day of two VMs may differ. */
const maximumClockLead = 3_600_000;

/**
 * Returns whether a heartbeat may be registered: not one with an unknown service
 * or data centre, or an impossible start.
 */
export function mayRegister(
  { incarnation, service, dataCentre }: Announcement,
  options: Pick<LeaderSessionOptions, "replica" | "regionOf" | "logger">,
): boolean {
  const { replica, regionOf, logger } = options;
  const { items } = replica.state;
  const isKnown = regionOf(dataCentre) !== "" &&
    (items.size === 0 || items.has(`${ItemKind.service}/${service}`));
  // Its later heartbeats would count as those of an earlier incarnation.
  const isFromFuture = incarnation.bornAt > Date.now() + maximumClockLead;
  if (!isKnown || isFromFuture) {
    logger.warn("heartbeat-rejected", {
      target: incarnation.target,
      service,
      dataCentre,
      bornAt: incarnation.bornAt,
    });
  }
  return isKnown && !isFromFuture;
}
