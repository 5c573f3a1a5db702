import { LeaseTable } from "@kingcupglade/membership";
import type { VmView } from "@kingcupglade/ownership";

/** Time within which a VM must apply a table to keep its lease. */
const applyLimitMilliseconds = 1000;

/** Quiescent version of a VM that sends no more requests. */
export const finishedVersion = Number.MAX_SAFE_INTEGER;

interface TrackedVm {
  readonly boot: string;
  readonly appliedVersion: number;
  readonly quiescentVersion: number;
  /** Oldest version that was sent but is not applied yet. */
  readonly pending:
    | { readonly version: number; readonly since: number }
    | undefined;
}

/** Tracks the routing leases and the table versions of VMs for the leader. */
export class VmTracker {
  readonly #leases: LeaseTable;
  readonly #tracked = new Map<string, TrackedVm>();
  #lastLossAt: number;

  constructor(leaseMilliseconds: number, since: number) {
    this.#leases = new LeaseTable({ leaseMilliseconds }, since);
    this.#lastLossAt = since;
  }

  /** Time of the last loss of a VM that may have had requests in progress. */
  get lastLossAt(): number {
    return this.#lastLossAt;
  }

  /**
   * Renews a VM's lease. Returns false without renewing it if the VM has not
   * applied in time a table that it was sent.
   */
  renew(
    renewal: {
      readonly vm: { readonly name: string; readonly boot: string };
      readonly appliedVersion: number;
      readonly quiescentVersion: number;
    },
    now: number,
  ): boolean {
    const { vm, appliedVersion, quiescentVersion } = renewal;
    const known = this.#tracked.get(vm.name);
    const isSameBoot = known?.boot === vm.boot;
    if (known && !isSameBoot) this.#recordLoss(known, now);
    const pending =
      isSameBoot && known.pending && appliedVersion < known.pending.version
        ? known.pending
        : undefined;
    this.#tracked.set(vm.name, {
      boot: vm.boot,
      appliedVersion,
      quiescentVersion,
      pending,
    });
    if (pending && now - pending.since > applyLimitMilliseconds) return false;
    this.#leases.renew(vm.name, vm.boot, now);
    return true;
  }

  /** Records that a table version is sent to a VM. */
  recordSent(name: string, version: number, now: number): void {
    const known = this.#tracked.get(name);
    if (!known || known.pending) return;
    this.#tracked.set(name, { ...known, pending: { version, since: now } });
  }

  /** Records the removal of a VM whose lease has lapsed. */
  recordRemoval(name: string): void {
    this.#recordLoss(this.#tracked.get(name), this.#leases.lapsesAt(name));
    this.#tracked.delete(name);
  }

  /** Returns the state of the VM's lease and table for the planner. */
  view(name: string, now: number): VmView {
    const known = this.#tracked.get(name);
    return {
      lapsed: this.#leases.hasLapsed(name, now),
      lapsesAt: this.#leases.lapsesAt(name),
      appliedVersion: known?.appliedVersion ?? 0,
      quiescentVersion: known?.quiescentVersion ?? 0,
    };
  }

  #recordLoss(known: TrackedVm | undefined, at: number): void {
    if (known?.quiescentVersion === finishedVersion) return;
    this.#lastLossAt = Math.max(this.#lastLossAt, at);
  }
}
