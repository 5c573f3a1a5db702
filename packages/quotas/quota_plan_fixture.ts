import { expect } from "vitest";
import type {
  BorrowerRecorder,
  BorrowerRecorderOptions,
} from "./borrower_recorder.ts";
import { totalAllowance } from "./quota_settings.ts";
import type { QuotaLimit, QuotaSettings } from "./quota_settings.ts";
import { offerLoads, seededRandom } from "./simulated_load_fixture.ts";
import type { LoadRecord } from "./simulated_load_fixture.ts";
import { SimulatedNetwork } from "./simulated_network_fixture.ts";
import { LentAllowances } from "./lent_allowances_fixture.ts";

export const gateways = 5;
export const until = 45_000;
const workspace = "works";

/** A fault at a time. */
export type Fault =
  & { readonly at: number }
  & (
    | {
      readonly kind: "pause" | "cut-off";
      readonly gateway: number;
      readonly milliseconds: number;
    }
    | { readonly kind: "restart"; readonly gateway: number }
    | { readonly kind: "lose-leader" }
    | {
      readonly kind: "replace-leader";
      readonly milliseconds: number;
      readonly isFlapping: boolean;
    }
    | {
      readonly kind: "freeze-leader" | "stall-commits";
      readonly milliseconds: number;
    }
    /** The leader and a gateway end together; the gateway starts again. */
    | { readonly kind: "lose-both"; readonly gateway: number }
    | { readonly kind: "limit"; readonly rate: number }
  );

export interface Plan {
  readonly seed: number;
  readonly limit: QuotaLimit;
  readonly load: number;
  /** Share of the callers that are at one gateway. @default 0.7 */
  readonly hotShare?: number;
  readonly loss: number;
  readonly jitterMilliseconds: number;
  readonly settings: QuotaSettings;
  readonly faults: readonly Fault[];
}

export type CreateRecorder = (
  options: BorrowerRecorderOptions,
) => BorrowerRecorder;

/** A limit and when it came into force. */
export type Limits = readonly (readonly [at: number, total: number])[];

export function play(
  plan: Plan,
  create?: CreateRecorder,
): { readonly record: LoadRecord; readonly totals: Limits } {
  const { settings, faults, limit } = plan;
  const network = new SimulatedNetwork(seededRandom(plan.seed));
  network.loss = plan.loss;
  network.jitterMilliseconds = plan.jitterMilliseconds;
  const limits = new Map([[workspace, limit]]);
  const policy = new LentAllowances({
    network,
    gateways,
    settings,
    limits,
    // Lease clocks may differ by 2 %, window clocks by 0.1 %.
    drift: 0.001,
  }, create);
  const totals: [number, number][] = [[0, totalAllowance(limit, settings)]];
  for (const fault of faults) {
    network.schedule.after(fault.at, () => {
      inject(fault, { network, policy, limits });
      const current = limits.get(workspace)!;
      if (fault.kind !== "limit") return;
      totals.push([fault.at, totalAllowance(current, settings)]);
    });
  }
  const record = offerLoads([{
    workspace,
    rate: () => plan.load * limit.ratePerSecond,
    // All callers move to another gateway every 6 s.
    gateway: (now, random) =>
      random() < (plan.hotShare ?? 0.7)
        ? Math.floor(now / 6000) % gateways
        : Math.floor(random() * gateways),
  }], { policy, network, until }).get(workspace)!;
  return { record, totals };
}

function inject(
  fault: Fault,
  { network, policy, limits }: {
    readonly network: SimulatedNetwork;
    readonly policy: LentAllowances;
    readonly limits: Map<string, QuotaLimit>;
  },
): void {
  const name = (index: number) => `front-${index}${index % 2 === 0 ? "" : "-"}`;
  const { schedule } = network;
  switch (fault.kind) {
    case "pause":
      network.pausedUntil.set(
        name(fault.gateway),
        schedule.now() + fault.milliseconds,
      );
      break;
    case "cut-off":
      network.isolated.add(name(fault.gateway));
      schedule.after(fault.milliseconds, () => {
        network.isolated.delete(name(fault.gateway));
      });
      break;
    case "restart":
      policy.restart(fault.gateway);
      break;
    case "lose-leader":
      policy.loseLeader();
      break;
    case "replace-leader":
      policy.replaceUnnoticed(fault.milliseconds, fault.isFlapping);
      break;
    case "freeze-leader":
      policy.freezeLeader(fault.milliseconds);
      break;
    case "stall-commits":
      policy.stallCommits(fault.milliseconds);
      break;
    case "lose-both":
      policy.loseLeader();
      policy.restart(fault.gateway);
      break;
    case "limit":
      limits.set(workspace, {
        ...limits.get(workspace)!,
        ratePerSecond: fault.rate,
      });
      policy.limitsChanged();
  }
}

/**
 * Expects that no window holds more requests than the largest total of the
 * `memoryMilliseconds` before its end.
 */
export function expectWithinTotals(
  { sentAt }: LoadRecord,
  totals: Limits,
  { windowMilliseconds, memoryMilliseconds }: {
    readonly windowMilliseconds: number;
    readonly memoryMilliseconds: number;
  },
): void {
  let start = 0;
  for (let end = 0; end < sentAt.length; end += 1) {
    const now = sentAt[end]!;
    while (sentAt[start]! <= now - windowMilliseconds) start += 1;
    const allowed = totals.filter((_, index) => {
      const endsAt = totals[index + 1]?.[0] ?? Infinity;
      return endsAt > now - memoryMilliseconds && totals[index]![0] <= now;
    }).map(([, total]) => total);
    expect(end - start + 1, `requests in the window to ${now}`)
      .toBeLessThanOrEqual(Math.max(...allowed));
  }
}
