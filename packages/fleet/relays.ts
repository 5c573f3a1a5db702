import { rankByHash } from "./pools.ts";
import type { VmEndpoint } from "./pools.ts";

/** Gateways that are published, so that the list stays short in large fleets. */
const maximumRelays = 96;

/**
 * Chooses the gateways that may take requests of one that reaches no target:
 * equally many of each data centre. Every leader chooses the same ones.
 *
 * @param gateways holds those in contact with the leader that may take requests.
 */
export function chooseRelays(
  gateways: readonly VmEndpoint[],
): readonly VmEndpoint[] {
  const byDataCentre = new Map<string, VmEndpoint[]>();
  for (const gateway of gateways) {
    const known = byDataCentre.get(gateway.dataCentre) ?? [];
    byDataCentre.set(gateway.dataCentre, known);
    known.push(gateway);
  }
  const ranked = [...byDataCentre].sort().map(([dataCentre, vms]) =>
    rankByHash(vms, dataCentre)
  );
  const share = Math.max(1, Math.floor(maximumRelays / ranked.length));
  return ranked.flatMap((vms) => vms.slice(0, share));
}
