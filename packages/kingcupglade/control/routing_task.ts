import { setTimeout as pause } from "node:timers/promises";
import { create, toBinary } from "@bufbuild/protobuf";
import { RequestCounter, RoutingTable } from "@kingcupglade/ownership";
import type { TableDelta } from "@kingcupglade/ownership";
import {
  decodeValue,
  encodeValue,
  RenewRequestSchema,
  RenewResponseSchema,
} from "@kingcupglade/protocol";
import type { RenewResponse } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { ControlClient } from "./control_client.ts";

/** Time for which control delays its response while the table is unchanged. */
const maximumHoldMilliseconds = 250;
const renewTimeoutMilliseconds = 700;
const retryDelayMilliseconds = 50;
/** Delay of a renewal while requests depend on an older table version. */
const settlingDelayMilliseconds = 5;
const reportIntervalMilliseconds = 1000;
/** Maximum time to wait until control has reassigned a leaving VM's roles. */
const leaveTimeoutMilliseconds = 1500;
const departureNoticeTimeoutMilliseconds = 300;
const noBytes = new Uint8Array();

/** Description of a VM, sent with each renewal. */
export interface VmDescription {
  readonly name: string;
  readonly boot: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly peerAddress: string;
  readonly callersAddress: string;
  /** ID of the VM's control replica; null without a data folder. */
  readonly replica: string | null;
}

/** Options of a {@link RoutingTask}. */
export interface RoutingTaskOptions {
  readonly vm: VmDescription;
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Tracks the oldest table version that a request in progress depends on. */
export interface QuiescenceSource {
  /**
   * Returns the highest table version up to which no request in progress
   * depends on a stopped range or a former home region.
   */
  quiescentVersion(table: RoutingTable): number;
}

/** Keeps a VM's routing table up to date and renews its routing lease. */
export class RoutingTask {
  readonly #options: RoutingTaskOptions;
  readonly #waiters = new Set<() => void>();
  #table = RoutingTable.empty;
  #leaseUntil = -Infinity;
  #hadLease = false;
  readonly #requestCounter = new RequestCounter();
  #loadReportedAt = -Infinity;
  #quiescenceSource: QuiescenceSource | undefined;
  #isLeaving = false;
  #isStopped = false;
  readonly #finished: Promise<void>;

  constructor(options: RoutingTaskOptions) {
    this.#options = options;
    this.#finished = this.#run();
  }

  /** The current table. */
  get table(): RoutingTable {
    return this.#table;
  }

  /** Whether this VM may currently route by its table. */
  get hasLease(): boolean {
    return this.#options.clock.now() < this.#leaseUntil;
  }

  /** Milliseconds until the lease lapses; negative if it has lapsed. */
  get leaseRemainingMilliseconds(): number {
    return this.#leaseUntil - this.#options.clock.now();
  }

  /** Sets the source that tracks the requests in progress. */
  setQuiescenceSource(source: QuiescenceSource): void {
    this.#quiescenceSource = source;
  }

  /** Waits until the next renewal response, or until the timeout expires. */
  waitForRenewal(timeoutMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(0, timeoutMilliseconds));
      this.#waiters.add(wake);
    });
  }

  /** Counts a request with a key for the load reports. */
  countRequest(group: string, position: number): void {
    this.#requestCounter.add(group, position);
  }

  /**
   * Notifies control that this VM is about to stop and waits, for a limited
   * time, until the VM holds no roles.
   */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    const deadline = this.#options.clock.now() + leaveTimeoutMilliseconds;
    while (this.#holdsRoles && this.#options.clock.now() < deadline) {
      await this.waitForRenewal(deadline - this.#options.clock.now());
    }
  }

  /** Stops renewing the lease. All requests of this VM must have ended. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#finished;
    if (this.#isLeaving && this.hasLease) await this.#sendDepartureNotice();
  }

  get #holdsRoles(): boolean {
    const { name } = this.#options.vm;
    return [...this.#table.roles.values()].some((role) =>
      role.holder === name || role.standby === name
    );
  }

  // After this notice, range moves do not wait until the VM's lease lapses.
  async #sendDepartureNotice(): Promise<void> {
    try {
      await this.#send({
        quiescentVersion: Number.MAX_SAFE_INTEGER,
        holdMilliseconds: 0,
        timeoutMilliseconds: departureNoticeTimeoutMilliseconds,
      });
    } catch (failure) {
      this.#options.logger.debug("departure-notice-failed", {
        reason: describeFailure(failure),
      });
    }
    this.#leaseUntil = -Infinity;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        await this.#renew();
      } catch (failure) {
        this.#recordLapse();
        this.#options.logger.debug("renewal-failed", {
          reason: describeFailure(failure),
        });
        await pause(retryDelayMilliseconds);
      }
    }
  }

  async #renew(): Promise<void> {
    const isSettling = this.#quiescentVersion() < this.#table.version;
    if (isSettling) await pause(settlingDelayMilliseconds);
    const sentAt = this.#options.clock.now();
    const response = await this.#send({
      quiescentVersion: this.#quiescentVersion(),
      holdMilliseconds: isSettling ? 0 : maximumHoldMilliseconds,
      timeoutMilliseconds: renewTimeoutMilliseconds,
    });
    this.#applyResponse(response, sentAt);
  }

  async #send(renewal: {
    readonly quiescentVersion: number;
    readonly holdMilliseconds: number;
    readonly timeoutMilliseconds: number;
  }): Promise<RenewResponse> {
    const { vm, control, metrics } = this.#options;
    const message = create(RenewRequestSchema, {
      vm: vm.name,
      boot: vm.boot,
      dataCentre: vm.dataCentre,
      region: vm.region,
      peerAddress: vm.peerAddress,
      callersAddress: vm.callersAddress,
      replica: vm.replica ?? "",
      appliedVersion: this.#table.version,
      quiescentVersion: renewal.quiescentVersion,
      leaving: this.#isLeaving,
      holdMilliseconds: renewal.holdMilliseconds,
      observations: this.#takeLoadReport(),
    });
    const response = await control.callOnce((service) =>
      service.renew(message, { timeoutMs: renewal.timeoutMilliseconds })
    );
    metrics.controlMessages.inc({ kind: "renew" });
    metrics.controlBytes.inc(
      { kind: "renew" },
      toBinary(RenewRequestSchema, message).length +
        toBinary(RenewResponseSchema, response).length,
    );
    return response;
  }

  #takeLoadReport(): Uint8Array<ArrayBuffer> {
    const now = this.#options.clock.now();
    if (now < this.#loadReportedAt + reportIntervalMilliseconds) return noBytes;
    this.#loadReportedAt = now;
    const reports = this.#requestCounter.takeReports();
    return reports.length > 0 ? encodeValue(reports) : noBytes;
  }

  #quiescentVersion(): number {
    return this.#quiescenceSource?.quiescentVersion(this.#table) ??
      this.#table.version;
  }

  #applyResponse(response: RenewResponse, sentAt: number): void {
    if (response.delta.length > 0) {
      const next = this.#table.apply(decodeValue<TableDelta>(response.delta));
      // If the delta does not apply, the empty table makes the next renewal
      // request the whole table; no request is routed until then.
      this.#table = next ?? RoutingTable.empty;
      this.#options.metrics.tableVersion.set(this.#table.version);
    }
    this.#leaseUntil = Math.max(
      this.#leaseUntil,
      sentAt + response.leaseMilliseconds,
    );
    this.#hadLease = true;
    for (const wake of this.#waiters) wake();
  }

  #recordLapse(): void {
    if (!this.#hadLease || this.hasLease) return;
    this.#hadLease = false;
    this.#options.metrics.leaseLapses.inc();
    this.#options.logger.warn("routing-lease-lapsed");
  }
}
