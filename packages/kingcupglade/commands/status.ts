import type { ControlStatus } from "../control/status.ts";
import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";
import { parseVmArguments } from "./arguments.ts";
import { fetchStatus } from "./operator_client.ts";
import { formatTable } from "./table.ts";

/** `status`: prints the deployment as the control leader sees it. */
export const statusCommand: Command = {
  help: `Usage: kingcupglade status --vm IP:PORT [--json]

Prints the leader, the versions in force, the VMs with their roles, the targets
with their conditions, and the ranges without an owner. Exits with 1 when no
control leader answers.

Examples:
  kingcupglade status --vm 127.0.0.1:8401
  kingcupglade status --vm 127.0.0.1:8401 --json
`,
  async run(commandArguments) {
    const { vm, json } = parseVmArguments(commandArguments, "status");
    const status = await fetchStatus(vm);
    process.stdout.write(
      json ? `${JSON.stringify(status)}\n` : formatStatus(status),
    );
    return ExitCode.done;
  },
};

function formatStatus(status: ControlStatus): string {
  const { bundle, replicas } = status;
  return [
    `leader ${status.leader}, term ${status.term}, table version ${status.tableVersion}`,
    `voters ${replicas.voters.join(", ")}`,
    ...(replicas.learners.length > 0
      ? [`learners ${replicas.learners.join(", ")}`]
      : []),
    bundle
      ? `bundle ${bundle.version}, in force ${
        bundle.inForceEverywhere ? "everywhere" : "not yet everywhere"
      }`
      : "no bundle was rolled yet",
    "",
    formatTable(
      ["VM", "data centre", "role", "state", "table"],
      status.vms.map((vm) => formatVmRow(vm, status)),
    ),
    "",
    formatTable(
      ["target", "service", "data centre", "condition", "ranges"],
      status.targets.map((each) => [
        each.target,
        each.service,
        each.dataCentre,
        each.condition,
        String(each.ranges),
      ]),
    ),
    "",
    formatTable(
      ["placement group", "ranges", "without owner", "moving"],
      status.groups.map((each) => [
        each.id,
        String(each.ranges),
        String(each.withoutOwner),
        String(each.moving),
      ]),
    ),
    "",
  ].join("\n");
}

function formatVmRow(
  vm: ControlStatus["vms"][number],
  status: ControlStatus,
): readonly string[] {
  return [
    vm.name,
    vm.dataCentre,
    describeRole(vm.name, status),
    describeState(vm),
    String(vm.appliedVersion),
  ];
}

function describeRole(name: string, status: ControlStatus): string {
  const { voters, learners } = status.replicas;
  // Replica IDs have the form VM.incarnation.
  const isAmong = (replicas: readonly string[]) =>
    replicas.some((replica) => replica.startsWith(`${name}.`));
  if (name === status.leader) return "leader";
  if (isAmong(voters)) return "voter";
  return isAmong(learners) ? "learner" : "gateway";
}

function describeState(vm: ControlStatus["vms"][number]): string {
  if (vm.lapsed) return "no lease";
  if (vm.appliedVersion === 0) return "not heard";
  return vm.leaving ? "leaving" : "serving";
}
