import type { ConsensusMessage } from "@kingcupglade/consensus";
import { Replication } from "@kingcupglade/protocol";
import { IdentityError, ReplicaStorage } from "@kingcupglade/storage";
import type { Files } from "@kingcupglade/storage";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { ResolvedSettings } from "../settings/schema.ts";
import {
  BootstrapStep,
  decideBootstrap,
  includesReplica,
  storeFounders,
} from "./bootstrap.ts";
import type { Hello } from "./bootstrap.ts";
import type { PeerDirectory } from "./peers.ts";
import { replicaIdOf, vmOfReplica } from "@kingcupglade/replica";
import { ReplicaSender } from "./replica_sender.ts";
import { ReplicaTask } from "./replica_task.ts";

const bootstrapIntervalMilliseconds = 200;
// Responses to longer syncs are sent in a separate call, so that heartbeats are
// not delayed.
const syncWaitMilliseconds = 25;

/** Options of a {@link ReplicaHost}. */
export interface ReplicaHostOptions {
  readonly settings: ResolvedSettings;
  readonly folder: string;
  readonly storage: ReplicaStorage;
  readonly peers: PeerDirectory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** @default the file system */
  readonly files?: Files | undefined;
  /** Called after every applied command, role change, start and failure. */
  readonly onChange: () => void;
}

/**
 * Adds the replica of a data folder to a replica set and runs it until the
 * folder fails; the VM then continues without a replica.
 */
export class ReplicaHost {
  readonly id: string;
  readonly #options: ReplicaHostOptions;
  readonly #sender: ReplicaSender;
  readonly #timer: NodeJS.Timeout;
  #storage: ReplicaStorage | undefined;
  #replica: ReplicaTask | undefined;
  #isBootstrapping = false;
  /** The initial replica set while it is being stored. */
  #pendingFounders: readonly string[] = [];

  protected constructor(options: ReplicaHostOptions) {
    const { storage, peers } = options;
    this.#options = options;
    this.id = replicaIdOf(storage.identity);
    this.#sender = new ReplicaSender({
      peers,
      self: this.id,
      onMessages: (messages) => this.#receive(messages),
    });
    this.#storage = storage;
    if (isUsed(storage) || !this.#isInitialVoter) this.#start(storage);
    this.#timer = setInterval(
      () => this.#tryBootstrap(),
      bootstrapIntervalMilliseconds,
    );
  }

  /**
   * Opens the data folder. If it is damaged or not writable, logs the reason
   * and returns undefined.
   *
   * @throws {IdentityError} when the folder belongs to another VM.
   */
  static async open(
    options: Omit<ReplicaHostOptions, "storage">,
  ): Promise<ReplicaHost | undefined> {
    const { folder, settings, files, logger } = options;
    try {
      const storage = await ReplicaStorage.open(folder, {
        vm: settings.vm.name,
        ...(files && { files }),
      });
      logger.info("data-folder-opened", {
        replica: replicaIdOf(storage.identity),
        ...storage.summary,
      });
      return new ReplicaHost({ ...options, storage });
    } catch (cause) {
      if (cause instanceof IdentityError) throw cause;
      logger.error("replica-refused", { reason: describeFailure(cause) });
      return undefined;
    }
  }

  /** The running replica. */
  get replica(): ReplicaTask | undefined {
    return this.#replica;
  }

  /** State of the data folder, reported while the initial set is formed. */
  get hello(): Hello {
    const { snapshot } = this.#replica?.consensus ?? {};
    return {
      replica: this.id,
      member: this.#replica !== undefined || this.#storage === undefined,
      founders: snapshot?.index === 0
        ? snapshot.configuration.voters
        : this.#pendingFounders,
    };
  }

  /**
   * Joins the initial replica set if it includes the replica of this unused data
   * folder; returns whether it did.
   */
  async bootstrap(voters: readonly string[]): Promise<boolean> {
    const storage = this.#storage;
    if (this.#replica || !storage || !includesReplica(voters, storage)) {
      return false;
    }
    this.#storage = undefined;
    // A founder that requests the state in the meantime must join the set, not
    // start as a standby.
    this.#pendingFounders = voters;
    try {
      await storeFounders(storage, voters);
      await storage.close();
      this.#start(await this.#reopen());
      return true;
    } catch (failure) {
      this.#fail(failure);
      return false;
    } finally {
      this.#pendingFounders = [];
    }
  }

  /** Processes messages of another replica; returns the encoded responses. */
  receive(
    from: string,
    messages: readonly ConsensusMessage[],
  ): Promise<Uint8Array<ArrayBuffer>[]> {
    return this.#sender.answer(vmOfReplica(from), async () => {
      this.#receive(messages);
      await this.#replica?.waitUntilSynced(syncWaitMilliseconds);
    });
  }

  #receive(messages: readonly ConsensusMessage[]): void {
    for (const message of messages) this.#replica?.receive(message);
  }

  /** Stops the replica and closes the data folder. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    if (this.#replica) await this.#replica.stop();
    else await this.#storage?.close();
  }

  get #isInitialVoter(): boolean {
    const { control, vm } = this.#options.settings;
    return control.voters.includes(vm.name);
  }

  #reopen(): Promise<ReplicaStorage> {
    const { folder, settings, files } = this.#options;
    return ReplicaStorage.open(folder, {
      vm: settings.vm.name,
      ...(files && { files }),
    });
  }

  #start(storage: ReplicaStorage): void {
    const { clock, metrics, onChange } = this.#options;
    this.#storage = storage;
    this.#replica = new ReplicaTask({
      storage,
      clock,
      send: (message) => this.#sender.send(message),
      onChange,
      onFailure: (failure) => this.#fail(failure),
    });
    metrics.replicaRunning.set(1);
  }

  #fail(failure: unknown): void {
    const { logger, metrics, onChange } = this.#options;
    const replica = this.#replica;
    this.#replica = undefined;
    this.#storage = undefined;
    metrics.replicaRunning.set(0);
    logger.error("replica-stopped", { reason: describeFailure(failure) });
    void replica?.stop().catch(() => {});
    onChange();
  }

  #tryBootstrap(): void {
    if (this.#replica || !this.#storage || this.#isBootstrapping) return;
    this.#isBootstrapping = true;
    void this.#runBootstrapStep()
      .catch((failure) =>
        this.#options.logger.warn("bootstrap-failed", {
          reason: describeFailure(failure),
        })
      )
      .finally(() => (this.#isBootstrapping = false));
  }

  async #runBootstrapStep(): Promise<void> {
    const { settings, peers } = this.#options;
    const { voters } = settings.control;
    const selfVm = settings.vm.name;
    const decision = await decideBootstrap({
      self: this.hello,
      selfVm,
      voters,
      peers,
    });
    switch (decision.step) {
      case BootstrapStep.wait:
        return;
      case BootstrapStep.join:
        await this.bootstrap(decision.replicas);
        return;
      case BootstrapStep.serveAsStandby:
        if (!this.#replica && this.#storage) this.#start(this.#storage);
        return;
      case BootstrapStep.bootstrap:
        await Promise.all(
          voters.map(async (vm) =>
            vm === selfVm
              ? await this.bootstrap(decision.replicas)
              : await peers.client(vm, Replication)!.found({
                voters: [...decision.replicas],
              })
          ),
        );
    }
  }
}

// A folder with any stored state belongs to a replica set already, or is that
// of a standby.
function isUsed({ stored }: ReplicaStorage): boolean {
  return stored.snapshot !== null || stored.entries.length > 0 ||
    stored.hardState.term > 0;
}
