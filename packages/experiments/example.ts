import type { FakeTargetOptions } from "@kingcupglade/fakes";
import type { DeploymentOptions } from "./deployment_options.ts";

/** A target in the targets file of an example. */
export type ExampleTarget =
  & Pick<FakeTargetOptions, "name" | "service" | "dataCentre">
  & Required<Pick<FakeTargetOptions, "slots" | "connections" | "coldSlots">>;

/** An example from `examples/` as a deployment on loopback. */
export interface ExampleDeployment {
  readonly deployment: DeploymentOptions;
  readonly targets: readonly ExampleTarget[];
}

/** Creates a deployment description from an example's bundle and targets. */
export function describeExample(source: {
  readonly bundle: {
    readonly dataCentres: DeploymentOptions["dataCentres"];
    readonly services: readonly unknown[];
    readonly tenants: readonly unknown[];
    readonly routes: readonly unknown[];
  };
  readonly targets: readonly ExampleTarget[];
  /** Data centre of vm-1, vm-2 and so on. */
  readonly vmDataCentres: readonly string[];
}): ExampleDeployment {
  const { dataCentres, services, tenants, routes } = source.bundle;
  return {
    deployment: {
      dataCentres,
      vms: Object.fromEntries(
        source.vmDataCentres.map((name, index) => [`vm-${index + 1}`, name]),
      ),
      voters: ["vm-1", "vm-4", "vm-7"],
      vmsWithDisk: ["vm-1", "vm-2", "vm-4", "vm-5", "vm-7"],
      content: { services, tenants, routes },
    },
    targets: source.targets,
  };
}
