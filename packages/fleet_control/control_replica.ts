import { emptySnapshot } from "@kingcupglade/consensus";
import type {
  ConsensusMessage,
  ConsensusOptions,
} from "@kingcupglade/consensus";
import { FleetMachine } from "@kingcupglade/fleet";
import { Replica, replicaIdOf } from "@kingcupglade/replica";
import { ReplicaStorage } from "@kingcupglade/storage";
import type { Files, FolderSummary } from "@kingcupglade/storage";
import type { Clock } from "@kingcupglade/tasks";
import type { FleetReplica } from "./leader_session.ts";

/**
 * Regions are 8 ms apart and a stopped process restarts within a second, so a
 * silence of three heartbeats counts as a loss.
 */
const consensusTimings: ConsensusOptions = {
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

/** Options of {@link ControlReplica.open}. */
export interface ControlReplicaOptions {
  readonly folder: string;
  /** Address at which the other control VMs reach this one, as IP:PORT. */
  readonly peerAddress: string;
  readonly clock: Clock;
  readonly send: (message: ConsensusMessage) => void;
  readonly onChange: () => void;
  readonly onFailure: (failure: unknown) => void;
  /** @default the system's files */
  readonly files?: Files;
}

/**
 * Replica of a data folder; it runs once the folder is bootstrapped or the VM
 * serves as a standby.
 */
export class ControlReplica {
  readonly id: string;
  /** What the data folder contained at the start, in figures. */
  readonly opened: FolderSummary;
  readonly #options: ControlReplicaOptions;
  #storage: ReplicaStorage;
  #replica: FleetReplica | undefined;
  #founders: readonly string[] = [];

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
    const storage = await ReplicaStorage.open(options.folder, {
      vm: options.peerAddress,
      ...(options.files && { files: options.files }),
    });
    return new ControlReplica(options, storage);
  }

  /** The running replica, if it has been started. */
  get running(): FleetReplica | undefined {
    return this.#replica;
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
      onFailure: this.#options.onFailure,
      consensus: consensusTimings,
    });
  }

  /** Stores the first replica set and starts the replica. */
  async bootstrap(founders: readonly string[]): Promise<void> {
    if (this.#replica || this.#founders.length > 0) return;
    this.#founders = founders;
    await this.#storage.saveSnapshot(
      emptySnapshot({ voters: founders, learners: [] }),
      { hardState: { term: 0, votedFor: null }, entries: [] },
    );
    await this.#storage.close();
    const { folder, peerAddress, files } = this.#options;
    this.#storage = await ReplicaStorage.open(folder, {
      vm: peerAddress,
      ...(files && { files }),
    });
    this.start();
  }

  /** Stops the replica and closes the data folder. */
  async stop(): Promise<void> {
    if (this.#replica) await this.#replica.stop();
    else await this.#storage.close();
  }
}

// A folder with any data belongs to a replica set.
function isUsed({ stored }: ReplicaStorage): boolean {
  return stored.snapshot !== null || stored.entries.length > 0 ||
    stored.hardState.term > 0;
}
