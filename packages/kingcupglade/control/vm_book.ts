import { LeaseTable } from "@kingcupglade/membership";
import type { VmView } from "@kingcupglade/ownership";

/** Time in which a VM must apply what it was sent, to keep its lease. */
const applyMilliseconds = 1000;

/** Quiescent version of a VM that sends no request any more. */
export const finishedVersion = Number.MAX_SAFE_INTEGER;

interface KnownVm {
  readonly boot: string;
  readonly appliedVersion: number;
  readonly quiescentVersion: number;
  /** The oldest version that it was sent and has not applied. */
  readonly owed:
    | { readonly version: number; readonly since: number }
    | undefined;
}

/** What the leader knows of the VMs' routing leases and of their tables. */
export class VmBook {
  readonly #leases: LeaseTable;
  readonly #known = new Map<string, KnownVm>();
  #lostAt: number;

  constructor(leaseMilliseconds: number, since: number) {
    this.#leases = new LeaseTable({ leaseMilliseconds }, since);
    this.#lostAt = since;
  }

  /** When a VM was lost last that may have had requests in progress. */
  get lostAt(): number {
    return this.#lostAt;
  }

  /**
   * Renews a VM's lease, unless it has not applied what it was sent; true when
   * it was renewed.
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
    const known = this.#known.get(vm.name);
    const isSame = known?.boot === vm.boot;
    if (known && !isSame) this.#noteLoss(known, now);
    const owed = isSame && known.owed && appliedVersion < known.owed.version
      ? known.owed
      : undefined;
    this.#known.set(vm.name, {
      boot: vm.boot,
      appliedVersion,
      quiescentVersion,
      owed,
    });
    if (owed && now - owed.since > applyMilliseconds) return false;
    this.#leases.renew(vm.name, vm.boot, now);
    return true;
  }

  /** Notes that a VM is sent the table of a version. */
  noteSent(name: string, version: number, now: number): void {
    const known = this.#known.get(name);
    if (!known || known.owed) return;
    this.#known.set(name, { ...known, owed: { version, since: now } });
  }

  /** Notes that a VM whose lease has lapsed is removed. */
  noteRemoval(name: string): void {
    this.#noteLoss(this.#known.get(name), this.#leases.lapsesAt(name));
    this.#known.delete(name);
  }

  /** The VM's lease and table as the planner sees them. */
  view(name: string, now: number): VmView {
    const known = this.#known.get(name);
    return {
      lapsed: this.#leases.hasLapsed(name, now),
      lapsesAt: this.#leases.lapsesAt(name),
      appliedVersion: known?.appliedVersion ?? 0,
      quiescentVersion: known?.quiescentVersion ?? 0,
    };
  }

  #noteLoss(known: KnownVm | undefined, at: number): void {
    if (known?.quiescentVersion === finishedVersion) return;
    this.#lostAt = Math.max(this.#lostAt, at);
  }
}
