import { Deployment } from "./deployment.ts";
import { hsinchu } from "./hsinchu.ts";

/** Shows the whole path; true when everything held. */
export async function runDemo(
  print: (line: string) => void,
): Promise<boolean> {
  print("starting nine VMs in three regions");
  const deployment = await Deployment.start(hsinchu);
  try {
    const version = await deployment.roll();
    print(`bundle ${version} rolled`);
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
    print("every range has an owner");
    const send = (vm: string) =>
      deployment.caller.send({
        vm: deployment.callersAddress(vm),
        method: "POST",
        path: "/fixtures/clamp-7",
        tenant: "toolroom",
        key: "clamp-7",
      });
    const before = await send("vm-1");
    print(`clamp-7 served by ${before.target} under epoch ${before.epoch}`);
    deployment.targets.get(before.target)?.kill();
    const lostAt = performance.now();
    let after = await send("vm-5");
    while (after.outcome !== "answered") after = await send("vm-5");
    print(
      `clamp-7 served by ${after.target} under epoch ${after.epoch}, ${
        Math.round(performance.now() - lostAt)
      } ms after the loss`,
    );
    return after.epoch > before.epoch;
  } finally {
    await deployment.stop();
  }
}
