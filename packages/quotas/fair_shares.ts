/**
 * Divides a number of requests among gateways: each receives its demand, or as
 * much as every other gateway whose demand is not met. The shares are whole
 * numbers, and their sum is at most `total`.
 *
 * @param demands Demand of each gateway, a whole number of at least 0.
 */
export function fairShares(
  demands: ReadonlyMap<string, number>,
  total: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let left = Math.max(0, Math.floor(total));
  let count = demands.size;
  const ordered = [...demands].sort(([leftName, left], [rightName, right]) =>
    left - right || (leftName < rightName ? -1 : 1)
  );
  for (const [gateway, demand] of ordered) {
    const share = Math.min(demand, Math.floor(left / count));
    shares.set(gateway, share);
    left -= share;
    count -= 1;
  }
  return shares;
}
