import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  applyCommand,
  deltaSince,
  hashSpaceSize,
  RequestCounter,
  RoutingTable,
} from "@kingcupglade/ownership";
import type { ControlState, TableDelta } from "@kingcupglade/ownership";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import type { Experiment, Figure } from "../experiment.ts";
import { PlanningSimulation, targetName } from "../planning_simulation.ts";
import { RandomSource } from "../random_source.ts";

const sizes = [
  { targets: 12, ranges: 768, vms: 9, tenants: 64 },
  { targets: 120, ranges: 2048, vms: 30, tenants: 512 },
  { targets: 930, ranges: 4096, vms: 90, tenants: 4096 },
] as const;

const tableCopies = 8;
const repetitions = 200;
const rollsPerDay = 3200;
const secondsPerDay = 86_400;
const requestsPerReport = 10_000;

type Size = typeof sizes[number];

/** Measures the memory of the routing table and the size of its deltas. */
export const tableSizeExperiment: Experiment = {
  summary: "memory of the routing table and bytes of its deltas at three sizes",
  run({ seed, progress }) {
    const figures = sizes.flatMap((size) => {
      progress(`measuring ${size.targets} targets`);
      return measure(size, seed);
    });
    return Promise.resolve({ figures });
  },
};

function measure(size: Size, seed: number): readonly Figure[] {
  const suffix =
    ` at ${size.targets} targets, ${size.ranges} ranges, ${size.vms} VMs, ${size.tenants} tenants`;
  const state = buildState(size);
  const encodedTable = encodeValue(deltaSince(state, 0));
  return [
    bytesFigure(`whole table${suffix}`, encodedTable.length),
    bytesFigure(`memory of a VM's table${suffix}`, tableMemory(encodedTable)),
    bytesFigure(
      `delta of one stopped range${suffix}`,
      rangeDeltaBytes(state),
      encodedTable.length,
    ),
    ...rollFigures(state, suffix),
    microsecondsFigure(
      `CPU to make and encode a delta of one range${suffix}`,
      () => {
        encodeValue(deltaSince(state, state.version - 1));
      },
    ),
    bytesFigure(`load report of one VM a second${suffix}`, reportBytes(seed)),
  ];
}

function buildState(size: Size): ControlState {
  const simulation = new PlanningSimulation({
    targets: size.targets,
    initialRanges: size.ranges,
    tenants: size.tenants,
  });
  simulation.runUntilStable();
  for (let index = 0; index < size.vms; index += 1) simulation.putVm(index);
  simulation.runUntilStable();
  simulation.putTarget(0, "leaving");
  return simulation.state;
}

function rangeDeltaBytes(state: ControlState): number {
  const [group] = state.groups.values();
  const range = group!.ranges.find((each) => each.owner === targetName(1))!;
  const { state: after } = applyCommand(state, {
    kind: "changeRanges",
    changes: [{
      kind: "stop",
      group: group!.id,
      start: range.start,
      epoch: range.epoch,
    }],
  }, state.version + 1);
  return encodeValue(deltaSince(after, state.version)).length;
}

function rollFigures(state: ControlState, suffix: string): readonly Figure[] {
  const document = structuredClone(
    state.bundle!.signed.document,
  ) as { version: number; tenants: { name: string; weight?: number }[] };
  document.version += 1;
  document.tenants[0]!.weight = 2;
  const signed = { document, signatures: state.bundle!.signed.signatures };
  // Unsigned, as a signature would add the same bytes to both.
  const { state: after } = applyCommand(
    {
      ...state,
      bundle: { ...state.bundle!, bundle: withoutRequiredSignatures(state) },
    },
    { kind: "rollBundle", signed },
    state.version + 1,
  );
  const delta = encodeValue(deltaSince(after, state.version));
  const encodedBundle = encodeValue({ ...after.bundle!.signed }).length;
  const table = RoutingTable.empty.apply(deltaSince(state, 0))!;
  return [
    bytesFigure(
      `delta of a roll that changes one tenant${suffix}`,
      delta.length,
      encodedBundle,
    ),
    {
      name: `bytes a second for ${rollsPerDay} rolls a day${suffix}`,
      value: delta.length * rollsPerDay / secondsPerDay,
      unit: "B/s",
      baseline: encodedBundle * rollsPerDay / secondsPerDay,
    },
    microsecondsFigure(`CPU of a VM to apply a roll${suffix}`, () => {
      table.apply(decodeValue<TableDelta>(delta));
    }, 20),
  ];
}

// The operators of the simulation cannot sign, so no signature is required.
function withoutRequiredSignatures(state: ControlState) {
  return { ...state.bundle!.bundle, requiredSignatures: 0 };
}

function tableMemory(encodedTable: Uint8Array): number {
  const before = usedBytes();
  const tables = Array.from(
    { length: tableCopies },
    () => RoutingTable.empty.apply(decodeValue<TableDelta>(encodedTable))!,
  );
  const used = (usedBytes() - before) / tableCopies;
  // The use of `tables` keeps them from being collected before the measurement.
  return tables.length === tableCopies ? used : 0;
}

function usedBytes(): number {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function reportBytes(seed: number): number {
  const random = new RandomSource(seed);
  const counter = new RequestCounter();
  for (let request = 0; request < requestsPerReport; request += 1) {
    counter.add("stock", random.integer(0, hashSpaceSize - 1));
  }
  return encodeValue(counter.takeReports()).length;
}

function bytesFigure(name: string, value: number, baseline?: number): Figure {
  return {
    name,
    value,
    unit: "B",
    ...(baseline === undefined ? {} : { baseline }),
  };
}

function microsecondsFigure(
  name: string,
  operation: () => void,
  times = repetitions,
): Figure {
  const startedAt = performance.now();
  for (let index = 0; index < times; index += 1) operation();
  return {
    name,
    value: (performance.now() - startedAt) / times * 1000,
    unit: "us",
  };
}
