import bundle from "../../examples/tavares/bundle.json" with { type: "json" };
import targets from "../../examples/tavares/targets.json" with { type: "json" };
import { describeExample } from "./example.ts";

const example = describeExample({
  bundle,
  targets,
  vmDataCentres: [
    "recife-a",
    "recife-b",
    "recife-b",
    "campinas-a",
    "campinas-b",
    "campinas-b",
    "curitiba-a",
    "curitiba-b",
    "curitiba-b",
  ],
});

/** The deployment of Rações Tavares Filhos: nine VMs in three regions. */
export const tavares = example.deployment;

/** Targets of {@link tavares}. */
export const tavaresTargets = example.targets;
