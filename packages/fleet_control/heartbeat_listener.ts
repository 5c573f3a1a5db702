import { rankByHash } from "@kingcupglade/fleet";
import type { Announcement, VmEndpoint } from "@kingcupglade/fleet";

/** Options of {@link chooseHeartbeatListener}. */
export interface HeartbeatListenerOptions {
  /** Control address of the leader, as IP:PORT. */
  readonly controlAddress: string;
  /** Region of the leader. */
  readonly region: string;
  readonly regionOf: (dataCentre: string) => string;
  /** Followers in contact with the leader, with their control addresses. */
  readonly listeners: () => readonly VmEndpoint[];
}

/**
 * Returns the address to which a target sends its heartbeats, as IP:PORT: that
 * of a follower in its region, which relays the heartbeats of many targets
 * together to reduce traffic between regions. It is the leader's address if
 * there is no such follower or the target is in the leader's region.
 */
export function chooseHeartbeatListener(
  { incarnation, dataCentre }: Pick<
    Announcement,
    "incarnation" | "dataCentre"
  >,
  options: HeartbeatListenerOptions,
): string {
  const { controlAddress, region, regionOf, listeners } = options;
  const targetRegion = regionOf(dataCentre);
  if (targetRegion === region) return controlAddress;
  const regionalListeners = listeners().filter((each) =>
    regionOf(each.dataCentre) === targetRegion
  );
  const [listener] = rankByHash(regionalListeners, incarnation.target);
  return listener?.address ?? controlAddress;
}
