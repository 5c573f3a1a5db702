import {
  BundleError,
  SignatureError,
  verifyBundle,
} from "@kingcupglade/bundle";
import type { SignedBundle, SigningAuthority } from "@kingcupglade/bundle";
import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import type {
  Announcement,
  AnnouncementResponse,
} from "@kingcupglade/membership";
import type { RollOutcome } from "@kingcupglade/ownership";
import type { Files } from "@kingcupglade/storage";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { ResolvedSettings } from "../settings/schema.ts";
import type { Hello } from "./bootstrap.ts";
import { DeltaCache } from "./delta_cache.ts";
import { ControlUnavailableError, NotLeaderError } from "./errors.ts";
import { GrantSender } from "./grant_sender.ts";
import { LeaderSession } from "./leader_session.ts";
import type { VmRenewal } from "./leader_session.ts";
import type { PeerDirectory } from "./peers.ts";
import { ReplicaHost } from "./replica_host.ts";
import { vmOfReplica } from "@kingcupglade/replica";
import type { ReplicaTask } from "./replica_task.ts";
import { describeControl } from "./status.ts";
import type { ControlStatus } from "./status.ts";
import { VoterRepair } from "./voter_repair.ts";

const tickIntervalMilliseconds = 50;
const repairIntervalMilliseconds = 250;
const transferTimeoutMilliseconds = 1000;
const noBytes = new Uint8Array();

/** Options of a {@link ControlTask}. */
export interface ControlTaskOptions {
  readonly settings: ResolvedSettings;
  /** The data folder. */
  readonly folder: string;
  /** @default the file system */
  readonly files?: Files;
  readonly peers: PeerDirectory;
  readonly targetSecret: string;
  /** Certificate authority of targets that use TLS, PEM. */
  readonly authority: Buffer | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Response to a lease renewal. */
export interface RenewalResponse {
  readonly leaseMilliseconds: number;
  readonly tableVersion: number;
  /** Encoded table delta; empty if the table is unchanged. */
  readonly delta: Uint8Array<ArrayBuffer>;
}

/** Runs the control replica of a VM with a data folder. */
export class ControlTask {
  readonly #options: ControlTaskOptions;
  readonly #grants: GrantSender;
  readonly #timer: NodeJS.Timeout;
  readonly #waiters = new Set<() => void>();
  readonly #deltaCache = new DeltaCache();
  #host: ReplicaHost | undefined;
  #session: LeaderSession | undefined;
  #repair: VoterRepair | undefined;
  #nextRepairAt = 0;

  protected constructor(options: ControlTaskOptions) {
    this.#options = options;
    this.#grants = new GrantSender({
      secret: options.targetSecret,
      authority: options.authority,
    });
    this.#timer = setInterval(() => this.#tick(), tickIntervalMilliseconds);
  }

  /**
   * Opens the data folder of a VM and starts its replica. Returns undefined if
   * the folder is damaged; the VM then runs without a replica.
   *
   * @throws {IdentityError} when the folder belongs to another VM.
   */
  static async start(
    options: ControlTaskOptions,
  ): Promise<ControlTask | undefined> {
    const task = new ControlTask(options);
    task.#host = await ReplicaHost.open({
      ...options,
      onChange: () => task.#onReplicaChange(),
    }).catch(async (failure) => {
      await task.stop();
      throw failure;
    });
    if (task.#host) return task;
    await task.stop();
    return undefined;
  }

  /** ID of the replica in this VM's data folder. */
  get replicaId(): string {
    return this.#host?.id ?? "";
  }

  /** The VM of the known control leader; empty if unknown. */
  get leaderVm(): string {
    const leader = this.#replica?.leader;
    return leader ? vmOfReplica(leader) : "";
  }

  /** State of the data folder, reported while the initial set is formed. */
  get hello(): Hello {
    return this.#host?.hello ?? { replica: "", member: false, founders: [] };
  }

  /**
   * Joins the initial replica set if it includes the replica of this unused data
   * folder; returns whether it did.
   */
  async bootstrap(voters: readonly string[]): Promise<boolean> {
    return (await this.#host?.bootstrap(voters)) ?? false;
  }

  /** Processes messages of another replica; returns the encoded responses. */
  async receive(
    from: string,
    messages: readonly ConsensusMessage[],
  ): Promise<Uint8Array<ArrayBuffer>[]> {
    return (await this.#host?.receive(from, messages)) ?? [];
  }

  /**
   * Renews a VM's routing lease. The response is delayed until the table
   * changes or `holdMilliseconds` have passed.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  async renew(
    renewal: VmRenewal,
    holdMilliseconds: number,
  ): Promise<RenewalResponse> {
    await this.#requireSession().renewVm(renewal);
    this.#session?.coordinate();
    const { replica } = this.#requireReplica();
    if (replica.control.version <= renewal.appliedVersion) {
      await this.#waitForChange(holdMilliseconds);
    }
    const session = this.#requireSession();
    const { load: _load, ...withoutLoad } = renewal;
    const leaseMilliseconds = await session.renewVm(withoutLoad);
    const { control } = replica;
    const hasUpdate = control.version > renewal.appliedVersion;
    if (hasUpdate) session.recordSent(renewal.vm.name, control.version);
    return {
      leaseMilliseconds,
      tableVersion: control.version,
      delta: hasUpdate
        ? this.#deltaCache.encodeDelta(control, renewal.appliedVersion)
        : noBytes,
    };
  }

  /**
   * Renews the leases of targets. An undefined announcement, whose digest was
   * unknown, gets an undefined reply.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  announce(
    announcements: readonly (Announcement | undefined)[],
  ): Promise<readonly (AnnouncementResponse | undefined)[]> {
    const session = this.#requireSession();
    return Promise.all(
      announcements.map((each) => each && session.renewTarget(each)),
    );
  }

  /**
   * Commits a signed bundle, or returns why it is refused.
   *
   * @throws {NotLeaderError} when another replica leads.
   * @throws {UnknownOutcomeError} when it is unknown whether it was committed.
   */
  async roll(signed: SignedBundle): Promise<RollOutcome> {
    this.#requireSession();
    const { replica } = this.#requireReplica();
    if (!replica.control.bundle) {
      const refusal = this.#findFirstBundleRefusal(signed);
      if (refusal) return refusal;
    }
    const outcome = await replica.propose({ kind: "rollBundle", signed });
    if (outcome.kind !== "rolled") {
      throw new ControlUnavailableError("the roll command was not applied");
    }
    return outcome.roll;
  }

  /**
   * Returns the state of the deployment as the leader sees it.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  status(): ControlStatus {
    const session = this.#requireSession();
    const { replica } = this.#requireReplica();
    return describeControl({
      state: replica.control,
      view: session.view,
      leader: this.#options.settings.vm.name,
      term: replica.consensus.term,
      replicas: configurationOf(replica.consensus),
    });
  }

  /** Transfers leadership, stops the replica and closes the data folder. */
  async stop(): Promise<void> {
    await this.#replica?.transferLeadership(transferTimeoutMilliseconds);
    await this.crash();
  }

  /** Stops immediately, without transferring leadership; for tests. */
  async crash(): Promise<void> {
    clearInterval(this.#timer);
    this.#session?.end();
    for (const wake of this.#waiters) wake();
    await this.#host?.stop();
    await this.#grants.close();
  }

  get #replica(): ReplicaTask | undefined {
    return this.#host?.replica;
  }

  #requireReplica(): { readonly replica: ReplicaTask } {
    if (!this.#replica) throw new NotLeaderError();
    return { replica: this.#replica };
  }

  #requireSession(): LeaderSession {
    if (!this.#replica?.isReadyLeader || !this.#session) {
      throw new NotLeaderError();
    }
    return this.#session;
  }

  // The first bundle is verified against the operators in the settings.
  #findFirstBundleRefusal(signed: SignedBundle): RollOutcome | null {
    const { operators, control } = this.#options.settings;
    const authority: SigningAuthority = {
      operators: Object.entries(operators).map(([name, publicKey]) => ({
        name,
        publicKey,
      })),
      requiredSignatures: control.requiredSignatures,
    };
    try {
      verifyBundle(signed, authority);
      return null;
    } catch (cause) {
      if (cause instanceof BundleError || cause instanceof SignatureError) {
        return { kind: "refused", reason: cause.message };
      }
      throw cause;
    }
  }

  #onReplicaChange(): void {
    this.#updateSession();
    this.#session?.coordinate();
    for (const wake of this.#waiters) wake();
    this.#waiters.clear();
  }

  #updateSession(): void {
    const isLeading = this.#replica?.isReadyLeader ?? false;
    if (isLeading === (this.#session !== undefined)) return;
    const { settings, clock, logger, metrics } = this.#options;
    metrics.leading.set(isLeading ? 1 : 0);
    logger.info(
      isLeading ? "control-leadership-acquired" : "control-leadership-lost",
    );
    this.#session?.end();
    this.#repair = isLeading
      ? new VoterRepair({
        ...settings.control,
        voters: settings.control.voters.length,
      })
      : undefined;
    this.#session = isLeading
      ? new LeaderSession({
        replica: this.#replica!,
        grants: this.#grants,
        clock,
        logger,
        metrics,
        ...settings.control,
      })
      : undefined;
  }

  #tick(): void {
    this.#updateSession();
    this.#session?.coordinate();
    this.#repairVoters();
  }

  #repairVoters(): void {
    const now = this.#options.clock.now();
    if (!this.#session || !this.#repair || now < this.#nextRepairAt) return;
    this.#nextRepairAt = now + repairIntervalMilliseconds;
    const { replica } = this.#requireReplica();
    const { view } = this.#session;
    const next = this.#repair.plan({
      consensus: replica.consensus,
      vms: [...replica.control.vms.values()],
      hasLapsed: (vm) => view.vm(vm).lapsed,
    }, now);
    if (!next) return;
    this.#options.logger.info("replica-set-change", {
      voters: next.voters.join(", "),
      learners: next.learners.join(", "),
    });
    replica.proposeConfiguration(next);
  }

  #waitForChange(holdMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, holdMilliseconds);
      this.#waiters.add(wake);
    });
  }
}
