import {
  BundleError,
  SignatureError,
  verifyBundle,
} from "@kingcupglade/bundle";
import type { SignedBundle, SigningAuthority } from "@kingcupglade/bundle";
import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import type { Announcement, AnnouncementReply } from "@kingcupglade/membership";
import type { RollOutcome } from "@kingcupglade/ownership";
import { Replication } from "@kingcupglade/protocol";
import { ReplicaStorage } from "@kingcupglade/storage";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { ResolvedSettings } from "../settings/schema.ts";
import { gatherFounders, namesReplica, storeFounders } from "./bootstrap.ts";
import type { Hello } from "./bootstrap.ts";
import { DeltaCache } from "./delta_cache.ts";
import { ControlUnavailableError, NotLeaderError } from "./errors.ts";
import { GrantSender } from "./grant_sender.ts";
import { LeaderSession } from "./leader_session.ts";
import type { VmRenewal } from "./leader_session.ts";
import type { PeerDirectory } from "./peers.ts";
import { replicaIdOf, vmOfReplica } from "./replica_id.ts";
import { ReplicaSender } from "./replica_sender.ts";
import { ReplicaTask } from "./replica_task.ts";
import { describeControl } from "./status.ts";
import type { ControlStatus } from "./status.ts";

const coordinationMilliseconds = 50;
const foundingMilliseconds = 200;
const noBytes = new Uint8Array();

/** Options of a {@link ControlTask}. */
export interface ControlTaskOptions {
  readonly settings: ResolvedSettings;
  readonly storage: ReplicaStorage;
  readonly peers: PeerDirectory;
  readonly targetSecret: string;
  /** Authority of targets that speak TLS, PEM. */
  readonly authority: Buffer | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when the data folder can no longer be written. */
  readonly onFailure: (failure: unknown) => void;
}

/** A renewal's answer: the lease and what changed. */
export interface RenewalAnswer {
  readonly leaseMilliseconds: number;
  readonly tableVersion: number;
  /** Encoded table delta; empty when nothing changed. */
  readonly delta: Uint8Array<ArrayBuffer>;
}

/** Runs the control replica of a VM with a data folder. */
export class ControlTask {
  readonly #options: ControlTaskOptions;
  readonly #storage: ReplicaStorage;
  readonly #grants: GrantSender;
  readonly #sender: ReplicaSender;
  readonly #timer: NodeJS.Timeout;
  readonly #waiters = new Set<() => void>();
  readonly #deltas = new DeltaCache();
  #replica: ReplicaTask | undefined;
  #session: LeaderSession | undefined;
  #member: boolean;
  #founding = false;

  constructor(options: ControlTaskOptions) {
    this.#options = options;
    this.#storage = options.storage;
    this.#grants = new GrantSender({
      secret: options.targetSecret,
      authority: options.authority,
    });
    this.#sender = new ReplicaSender(
      options.peers,
      replicaIdOf(options.storage.identity),
    );
    this.#member = options.storage.stored.snapshot !== null;
    if (this.#member || !this.#isFounder) this.#startReplica();
    this.#timer = setInterval(() => this.#tick(), coordinationMilliseconds);
  }

  /**
   * Opens the data folder of a VM and starts its replica.
   *
   * @throws {StorageError} when the folder cannot be used.
   */
  static async start(
    options: Omit<ControlTaskOptions, "storage"> & { readonly folder: string },
  ): Promise<ControlTask> {
    const storage = await ReplicaStorage.open(options.folder, {
      vm: options.settings.vm.name,
    });
    return new ControlTask({ ...options, storage });
  }

  /** The replica in this VM's data folder. */
  get replicaId(): string {
    return replicaIdOf(this.#storage.identity);
  }

  /** The VM that leads, as far as this one knows; empty when unknown. */
  get leaderVm(): string {
    const leader = this.#replica?.leader;
    return leader ? vmOfReplica(leader) : "";
  }

  /** What this VM tells of its data folder while the first set is formed. */
  get hello(): Hello {
    return { replica: this.replicaId, member: this.#member };
  }

  /** Joins the first replica set, if this folder is empty and named in it. */
  async found(voters: readonly string[]): Promise<boolean> {
    if (this.#member) return false;
    if (!namesReplica(voters, this.#storage)) return false;
    this.#member = true;
    await storeFounders(this.#storage, voters);
    const storage = await this.#reopenStorage();
    this.#startReplica(storage);
    return true;
  }

  /** Takes in messages of another replica. */
  receive(messages: readonly ConsensusMessage[]): void {
    for (const message of messages) this.#replica?.receive(message);
  }

  /**
   * Renews a VM's routing lease. The answer is held until there is news or
   * `holdMilliseconds` have passed.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  async renew(
    renewal: VmRenewal,
    holdMilliseconds: number,
  ): Promise<RenewalAnswer> {
    await this.#leading().renewVm(renewal);
    this.#session?.coordinate();
    const { replica } = this.#required();
    if (replica.control.version <= renewal.appliedVersion) {
      await this.#nextChange(holdMilliseconds);
    }
    const session = this.#leading();
    const { load: _counted, ...unchanged } = renewal;
    const leaseMilliseconds = await session.renewVm(unchanged);
    const { control } = replica;
    const isNews = control.version > renewal.appliedVersion;
    if (isNews) session.noteSent(renewal.vm.name, control.version);
    return {
      leaseMilliseconds,
      tableVersion: control.version,
      delta: isNews
        ? this.#deltas.since(control, renewal.appliedVersion)
        : noBytes,
    };
  }

  /**
   * Renews the leases of targets.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  announce(
    announcements: readonly Announcement[],
  ): Promise<readonly AnnouncementReply[]> {
    const session = this.#leading();
    return Promise.all(
      announcements.map((announcement) => session.renewTarget(announcement)),
    );
  }

  /**
   * Commits a signed bundle, or says why not.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  async roll(signed: SignedBundle): Promise<RollOutcome> {
    this.#leading();
    const { replica } = this.#required();
    if (!replica.control.bundle) {
      const refusal = this.#refuseFirstBundle(signed);
      if (refusal) return refusal;
    }
    const outcome = await replica.propose({ kind: "rollBundle", signed });
    if (outcome.kind !== "rolled") {
      throw new ControlUnavailableError("the roll was not applied");
    }
    return outcome.roll;
  }

  /**
   * The deployment as the leader sees it.
   *
   * @throws {NotLeaderError} when another replica leads.
   */
  status(): ControlStatus {
    const session = this.#leading();
    const { replica } = this.#required();
    return describeControl({
      state: replica.control,
      view: session.view,
      leader: this.#options.settings.vm.name,
      term: replica.consensus.term,
      replicas: configurationOf(replica.consensus),
    });
  }

  /** Hands over the lead, stops the replica and closes the data folder. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    if (this.#replica?.isReadyLeader) await this.#handOver(this.#replica);
    this.#session?.end();
    for (const wake of this.#waiters) wake();
    if (this.#replica) await this.#replica.stop();
    else await this.#storage.close();
    await this.#grants.close();
  }

  async #handOver(replica: ReplicaTask): Promise<void> {
    const attempts = 20;
    replica.transferLeadership();
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      if (!replica.isReadyLeader) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  get #isFounder(): boolean {
    const { control, vm } = this.#options.settings;
    return control.voters.includes(vm.name);
  }

  #required(): { readonly replica: ReplicaTask } {
    if (!this.#replica) throw new NotLeaderError();
    return { replica: this.#replica };
  }

  #leading(): LeaderSession {
    if (!this.#replica?.isReadyLeader || !this.#session) {
      throw new NotLeaderError();
    }
    return this.#session;
  }

  #refuseFirstBundle(signed: SignedBundle): RollOutcome | null {
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

  async #reopenStorage(): Promise<ReplicaStorage> {
    await this.#storage.close();
    return await ReplicaStorage.open(this.#options.settings.vm.dataFolder!, {
      vm: this.#options.settings.vm.name,
    });
  }

  #startReplica(storage: ReplicaStorage = this.#storage): void {
    this.#replica = new ReplicaTask({
      storage,
      clock: this.#options.clock,
      send: (message) => this.#sender.send(message),
      onChange: () => this.#changed(),
      onFailure: this.#options.onFailure,
    });
  }

  #changed(): void {
    this.#updateSession();
    this.#session?.coordinate();
    for (const wake of this.#waiters) wake();
    this.#waiters.clear();
  }

  #updateSession(): void {
    const leads = this.#replica?.isReadyLeader ?? false;
    if (leads === (this.#session !== undefined)) return;
    const { settings, clock, logger, metrics } = this.#options;
    metrics.leading.set(leads ? 1 : 0);
    logger.info(leads ? "control-lead-taken" : "control-lead-lost");
    this.#session?.end();
    this.#session = leads
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
    if (!this.#replica) return this.#tryFounding();
    this.#updateSession();
    this.#session?.coordinate();
  }

  #tryFounding(): void {
    if (this.#founding) return;
    this.#founding = true;
    void this.#found()
      .catch((failure) =>
        this.#options.logger.warn("founding-failed", {
          reason: describeFailure(failure),
        })
      )
      .finally(() =>
        setTimeout(() => (this.#founding = false), foundingMilliseconds)
      );
  }

  // Only the first of the listed VMs proposes, so that two sets cannot form.
  async #found(): Promise<void> {
    const { settings, peers } = this.#options;
    const voterVms = settings.control.voters;
    const voters = await gatherFounders({
      self: this.hello,
      selfVm: settings.vm.name,
      voters: voterVms,
      peers,
    });
    if (voters === null || voterVms[0] !== settings.vm.name) return;
    await Promise.all(
      voterVms.map(async (vm) =>
        vm === settings.vm.name
          ? await this.found(voters)
          : await peers.client(vm, Replication)!.found({ voters: [...voters] })
      ),
    );
  }

  #nextChange(holdMilliseconds: number): Promise<void> {
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
