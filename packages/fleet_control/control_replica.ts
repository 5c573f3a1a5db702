import { setTimeout as pause } from "node:timers/promises";
import { emptySnapshot } from "@kingcupglade/consensus";
import type {
  ConsensusMessage,
  ConsensusOptions,
} from "@kingcupglade/consensus";
import { FleetMachine } from "@kingcupglade/fleet";
import { Replica, replicaIdOf } from "@kingcupglade/replica";
import { ReplicaStorage, StorageError } from "@kingcupglade/storage";
import type { Files, FolderSummary } from "@kingcupglade/storage";
import type { Clock } from "@kingcupglade/tasks";
import type { FleetReplica } from "./leader_session.ts";

/**
 * Regions are 8 ms apart and a stopped process restarts within a second, so a
 * silence of three heartbeats counts as a loss.
 */
export const consensusTimings: ConsensusOptions = {
  heartbeatMilliseconds: 200,
  electionMilliseconds: 600,
  // A short quiet period after a restart suffices: grants and reads are each
  // confirmed by a round trip to the quorum, and gateways for cold targets are
  // named only after the choices of every earlier leader have expired. A
  // leader that is still running is noticed within one heartbeat interval, or
  // its other followers reject the candidate.
  restartQuietMilliseconds: 150,
  resendMilliseconds: 300,
};

/** Pause before a data folder that failed is opened again. */
const reopenDelayMilliseconds = 1000;

/** Options of {@link ControlReplica.open}. */
export interface ControlReplicaOptions {
  readonly folder: string;
  /** Address at which the other control VMs reach this one, as IP:PORT. */
  readonly peerAddress: string;
  readonly clock: Clock;
  readonly send: (message: ConsensusMessage) => void;
  readonly onChange: () => void;
  /**
   * Called when the data folder has failed, and each time that it cannot be
   * opened again. No replica is running then.
   */
  readonly onFolderFailure: (failure: unknown) => void;
  /** Called when a data folder that failed can be used again. */
  readonly onFolderReopened: () => void;
  /** Called after any other failure; the replica does not run again. */
  readonly onFailure: (failure: unknown) => void;
  /** @default the system's files */
  readonly files?: Files;
}

/**
 * Replica of a data folder; it runs once the folder is bootstrapped or the VM
 * serves as a standby. While the folder fails, no replica runs, and the folder
 * is opened again at intervals: what counts is only what it then contains.
 */
export class ControlReplica {
  readonly id: string;
  /** What the data folder contained at the start, in figures. */
  readonly opened: FolderSummary;
  readonly #options: ControlReplicaOptions;
  #storage: ReplicaStorage;
  #replica: FleetReplica | undefined;
  #founders: readonly string[] = [];
  #hasFailedFolder = false;
  readonly #stopping = new AbortController();
  /** Resolves when the folder is no longer being opened or founded. */
  #folderWork: Promise<void> = Promise.resolve();
  /** The latest leader heard of while no replica runs. */
  #heardLeader: { readonly id: string; readonly term: number } | undefined;

  protected constructor(
    options: ControlReplicaOptions,
    storage: ReplicaStorage,
  ) {
    this.#options = options;
    this.#storage = storage;
    this.id = replicaIdOf(storage.identity);
    this.opened = storage.summary;
    if (isUsed(storage)) this.start();
  }

  /**
   * Opens the data folder, and starts the replica if the folder has been used.
   *
   * @throws {StorageError} when the folder cannot be used.
   */
  static async open(options: ControlReplicaOptions): Promise<ControlReplica> {
    return new ControlReplica(options, await openStorage(options));
  }

  /** The running replica; undefined before its start, and while the folder fails. */
  get running(): FleetReplica | undefined {
    return this.#hasFailedFolder ? undefined : this.#replica;
  }

  /** Whether the replica has been started, so that it belongs to a replica set. */
  get hasStarted(): boolean {
    return this.#replica !== undefined;
  }

  /** Whether the data folder cannot be used at present. */
  get hasFailedFolder(): boolean {
    return this.#hasFailedFolder;
  }

  /** The leader known to this replica, or null. */
  get leader(): string | null {
    const { running } = this;
    return running ? running.leader : this.#heardLeader?.id ?? null;
  }

  /**
   * Replicas of the first replica set, as long as the log starts with it; empty
   * otherwise.
   */
  get founders(): readonly string[] {
    const { snapshot } = this.#replica?.consensus ?? {};
    return snapshot?.index === 0
      ? snapshot.configuration.voters
      : this.#founders;
  }

  /** Starts the replica, from a used folder or as a standby. */
  start(): void {
    if (this.#replica) return;
    this.#replica = new Replica({
      machine: new FleetMachine(),
      storage: this.#storage,
      clock: this.#options.clock,
      send: this.#options.send,
      onChange: this.#options.onChange,
      onFailure: (failure) => this.#handleFailure(failure),
      consensus: consensusTimings,
    });
  }

  /** Handles a message from another replica. */
  receive(message: ConsensusMessage): void {
    if (this.running) return this.running.receive(message);
    if (!this.#hasFailedFolder) return;
    const isFromLeader = message.kind === "appendRequest" ||
      message.kind === "snapshotRequest";
    if (!isFromLeader || message.term < (this.#heardLeader?.term ?? 0)) return;
    this.#heardLeader = { id: message.from, term: message.term };
  }

  /** Stores the first replica set and starts the replica. */
  async bootstrap(founders: readonly string[]): Promise<void> {
    if (this.#replica || this.#founders.length > 0) return;
    this.#founders = founders;
    this.#folderWork = this.#found(founders).catch(this.#options.onFailure);
    await this.#folderWork;
  }

  /** Stops the replica and closes the data folder. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#folderWork;
    if (this.running) await this.running.stop();
    else if (!this.#hasFailedFolder) await this.#storage.close();
  }

  async #found(founders: readonly string[]): Promise<void> {
    while (!isUsed(this.#storage) && !this.#stopping.signal.aborted) {
      try {
        await this.#storage.saveSnapshot(
          emptySnapshot({ voters: founders, learners: [] }),
          { hardState: { term: 0, votedFor: null }, entries: [] },
        );
        await this.#storage.close();
        this.#storage = await openStorage(this.#options);
      } catch (failure) {
        this.#reportFolderFailure(failure);
        await this.#closeFolder();
        await this.#reopenFolder();
      }
    }
    if (!this.#stopping.signal.aborted) this.start();
  }

  #handleFailure(failure: unknown): void {
    if (!(failure instanceof StorageError)) {
      return this.#options.onFailure(failure);
    }
    this.#reportFolderFailure(failure);
    this.#options.onChange();
    this.#folderWork = this.#restart().catch(this.#options.onFailure);
  }

  async #restart(): Promise<void> {
    await this.#closeFolder();
    await this.#reopenFolder();
    if (this.#hasFailedFolder) return;
    this.#replica = undefined;
    this.start();
    this.#options.onChange();
  }

  #reportFolderFailure(failure: unknown): void {
    this.#hasFailedFolder = true;
    this.#heardLeader = undefined;
    this.#options.onFolderFailure(failure);
  }

  // The replica waits for its last write, so that none follows the next read.
  async #closeFolder(): Promise<void> {
    try {
      await (this.#replica?.stop() ?? this.#storage.close());
    } catch (failure) {
      this.#options.onFolderFailure(failure);
    }
  }

  async #reopenFolder(): Promise<void> {
    while (await this.#waitToReopen()) {
      try {
        this.#storage = await openRewritten(this.#options, this.id);
        this.#hasFailedFolder = false;
        return this.#options.onFolderReopened();
      } catch (failure) {
        this.#options.onFolderFailure(failure);
      }
    }
  }

  /** Resolves with false if the replica is stopped meanwhile. */
  async #waitToReopen(): Promise<boolean> {
    const { signal } = this.#stopping;
    await pause(reopenDelayMilliseconds, undefined, { signal }).catch(() => {});
    return !signal.aborted;
  }
}

function openStorage(options: ControlReplicaOptions): Promise<ReplicaStorage> {
  const { folder, peerAddress, files } = options;
  return ReplicaStorage.open(folder, {
    vm: peerAddress,
    ...(files && { files }),
  });
}

/**
 * Opens a folder that failed. What was written before a failed sync can be read
 * and yet be missing on the disk, whatever later syncs of the same file report;
 * so everything that is read is written to new files.
 */
async function openRewritten(
  options: ControlReplicaOptions,
  id: string,
): Promise<ReplicaStorage> {
  const storage = await openStorage(options);
  try {
    if (replicaIdOf(storage.identity) !== id) {
      throw new StorageError(
        `data folder ${options.folder} was replaced; restart the VM`,
      );
    }
    if (isUsed(storage)) {
      const { snapshot, hardState, entries } = storage.stored;
      await storage.saveSnapshot(
        snapshot ?? emptySnapshot({ voters: [], learners: [] }),
        { hardState, entries },
      );
    }
    return storage;
  } catch (failure) {
    await storage.close();
    throw failure;
  }
}

// A folder with any data belongs to a replica set.
function isUsed({ stored }: ReplicaStorage): boolean {
  return stored.snapshot !== null || stored.entries.length > 0 ||
    stored.hardState.term > 0;
}
