import { Deployment } from "../deployment.ts";
import type { Experiment } from "../experiment.ts";
import { hsinchu } from "../hsinchu.ts";

const targetMilliseconds = 4000;
const keys = 20;

/** Kills the owner of some keys and measures until each is served again. */
export const lostOwnerExperiment: Experiment = {
  summary: "time until the keys of a killed owner are served again",
  async run({ progress }) {
    const deployment = await Deployment.start(hsinchu);
    try {
      await deployment.roll();
      await addFixtureTargets(deployment);
      progress("every range has an owner");
      const send = (key: string) =>
        deployment.caller.send({
          vm: deployment.callersAddress("vm-2"),
          method: "POST",
          path: `/fixtures/${key}`,
          tenant: "toolroom",
          key,
        });
      const names = Array.from(
        { length: keys },
        (_, index) => `clamp-${index}`,
      );
      const before = await Promise.all(names.map(send));
      const lost = before[0]!.target;
      const affected = names.filter((_, index) =>
        before[index]!.target === lost
      );
      deployment.targets.get(lost)!.kill();
      const lostAt = performance.now();
      progress(`${lost} killed, ${affected.length} keys affected`);
      const times = await Promise.all(affected.map(async (key) => {
        while ((await send(key)).outcome !== "answered") {
          if (performance.now() - lostAt > 2 * targetMilliseconds) break;
        }
        return performance.now() - lostAt;
      }));
      return {
        figures: [{
          name: "longest time unserved",
          value: Math.max(...times),
          unit: "ms",
          target: { atMost: targetMilliseconds },
        }],
      };
    } finally {
      await deployment.stop();
    }
  },
};

async function addFixtureTargets(deployment: Deployment): Promise<void> {
  for (const [index, { name }] of hsinchu.dataCentres.entries()) {
    await deployment.addTarget({
      name: `fixture-${index + 1}`,
      service: "fixture-stock",
      dataCentre: name,
    });
  }
  await deployment.until((status) =>
    status.groups.every((group) => group.withoutOwner === 0)
  );
}
