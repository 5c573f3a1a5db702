import type {
  FakeCondition,
  FakeTargetOptions,
} from "./fake_target_options.ts";

/** Returns the body of a fake target's announcement. */
export function formatAnnouncement(
  options: Required<FakeTargetOptions>,
  state: {
    readonly boot: string;
    readonly condition: FakeCondition;
    /** Order of the push whose grants are in use. */
    readonly actsOn: object;
  },
): string {
  return JSON.stringify({
    target: options.name,
    boot: state.boot,
    service: options.service,
    dataCentre: options.dataCentre,
    address: `http://${options.address}`,
    slots: options.slots,
    connections: options.connections,
    coldSlots: options.coldSlots,
    checksFences: options.checksFences,
    condition: state.condition,
    actsOn: state.actsOn,
  });
}
