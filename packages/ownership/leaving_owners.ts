/**
 * Time for which an owner that must give up its ranges may still receive new
 * requests, in milliseconds.
 */
const maximumLeavingMilliseconds = 1500;

/**
 * Tracks since when working owners have had to give up their ranges, as
 * observed by one leader. Such ranges are stopped at a limited rate so that
 * their receivers are not overloaded, but only for a bounded time: otherwise
 * open requests of the first ranges would delay stopping the rest for as long
 * as their deadlines.
 */
export class LeavingOwnerTracker {
  #leavingSince: ReadonlyMap<string, number> | undefined;

  /**
   * Records the owners that must leave now and returns those whose time has
   * expired. A new leader does not know how long the owners of its first update
   * have been leaving, so it treats their time as expired.
   */
  update(owners: readonly string[], now: number): ReadonlySet<string> {
    const known = this.#leavingSince;
    const since = new Map(
      owners.map((each) => [each, known ? known.get(each) ?? now : -Infinity]),
    );
    this.#leavingSince = since;
    return new Set(
      owners.filter((each) =>
        now - since.get(each)! >= maximumLeavingMilliseconds
      ),
    );
  }
}
