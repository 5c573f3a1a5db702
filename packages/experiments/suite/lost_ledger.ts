import { claimOf, regionOfClaim } from "@kingcupglade/ledger";
import { Deployment } from "../deployment.ts";
import type { Experiment } from "../experiment.ts";
import { hsinchu } from "../hsinchu.ts";

const limitMilliseconds = 4000;
const claimCount = 48;
const lostVm = "vm-2";
const lostRegion = "hsinchu";
const entryVm = "vm-5";

/** Measures how long claims fail after a VM that stores them crashes. */
export const lostLedgerExperiment: Experiment = {
  summary:
    "time until claims are accepted again after a VM that stored them crashes",
  async run({ seed, progress }) {
    const deployment = await Deployment.start(hsinchu);
    try {
      await deployment.roll();
      for (const [index, { name }] of hsinchu.dataCentres.entries()) {
        await deployment.addTarget({
          name: `fixture-${index + 1}`,
          service: "fixture-stock",
          dataCentre: name,
        });
      }
      await deployment.until((status) =>
        status.vms.length === 9 &&
        status.groups.every((group) => group.withoutOwner === 0)
      );
      const send = async (keyed: boolean, index: number) => {
        const response = await deployment.caller.send({
          vm: deployment.callersAddress(entryVm),
          method: "POST",
          path: `/fixtures/clamp-${index}`,
          tenant: "toolroom",
          key: `clamp-${index}`,
          ...(keyed
            ? { idempotencyKey: idempotencyKeysInLostRegion(seed)[index]! }
            : {}),
        });
        return response.outcome === "answered";
      };
      while (!await send(false, 0));
      await deployment.crashVm(lostVm);
      progress(`${lostVm} crashed`);
      const lostAt = performance.now();
      const measureTimes = (keyed: boolean) =>
        Promise.all(Array.from({ length: claimCount }, async (_, index) => {
          while (!await send(keyed, index)) {
            if (performance.now() - lostAt > 2 * limitMilliseconds) break;
          }
          return performance.now() - lostAt;
        }));
      const [withClaim, withoutClaim] = await Promise.all([
        measureTimes(true),
        measureTimes(false),
      ]);
      return {
        figures: [{
          name: "longest time until a claim was taken",
          value: Math.max(...withClaim),
          baseline: Math.max(...withoutClaim),
          unit: "ms",
          target: { atMost: limitMilliseconds },
        }],
      };
    } finally {
      await deployment.stop();
    }
  },
};

/** Returns idempotency keys whose claims are stored in the lost VM's region. */
function idempotencyKeysInLostRegion(seed: number): readonly string[] {
  const regions = [...new Set(hsinchu.dataCentres.map((each) => each.region))]
    .sort();
  const keys: string[] = [];
  for (let index = 0; keys.length < claimCount; index += 1) {
    const idempotencyKey = `reservation-${seed}-${index}`;
    const claim = claimOf({
      service: "fixture-stock",
      tenant: "toolroom",
      idempotencyKey,
    });
    if (regionOfClaim(claim, regions) === lostRegion) keys.push(idempotencyKey);
  }
  return keys;
}
