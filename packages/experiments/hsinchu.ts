import bundle from "../../examples/hsinchu/bundle.json" with { type: "json" };
import targets from "../../examples/hsinchu/targets.json" with { type: "json" };
import { describeExample } from "./example.ts";

const example = describeExample({
  bundle,
  targets,
  vmDataCentres: [
    "hsinchu-a",
    "hsinchu-b",
    "hsinchu-b",
    "taichung-a",
    "taichung-b",
    "taichung-b",
    "kaohsiung-a",
    "kaohsiung-b",
    "kaohsiung-b",
  ],
});

/** The deployment of Hsinchu Precision Jig Works: nine VMs in three regions. */
export const hsinchu = example.deployment;

/** Targets of {@link hsinchu}. */
export const hsinchuTargets = example.targets;
