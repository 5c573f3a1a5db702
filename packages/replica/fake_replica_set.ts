import { crc32 } from "node:zlib";
import { configurationOf, emptySnapshot } from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { AppendOnlyFile, Files, ReplicaStorage } from "@kingcupglade/storage";
import { FakeFiles } from "@kingcupglade/storage/fake_files.ts";
import { MonotonicClock } from "@kingcupglade/tasks";
import { Replica } from "./replica.ts";
import { ReplicatedStateMachine } from "./replicated_state_machine.ts";

const clock = new MonotonicClock();
const incarnation = "a";
const linkMilliseconds = 4;
const maximumSyncMilliseconds = 20;
const maximumRestartMilliseconds = 300;
/** Greatest number of disk operations before a kill. */
const maximumOperations = 50;
const consensusTimings = {
  heartbeatMilliseconds: 100,
  electionMilliseconds: 300,
  restartQuietMilliseconds: 75,
  resendMilliseconds: 150,
};

type Random = () => number;
type Numbers = ReadonlySet<number>;

/** Collects the numbers that were proposed. */
class NumberSet extends ReplicatedStateMachine<Numbers, number, number> {
  override restore(data: Uint8Array): Numbers {
    return new Set(new Uint16Array(Uint8Array.from(data).buffer));
  }

  override encode(state: Numbers): Uint8Array {
    return new Uint8Array(Uint16Array.from(state).buffer);
  }

  override apply(state: Numbers, command: number) {
    return { state: new Set([...state, command]), outcome: command };
  }

  override skip(state: Numbers): Numbers {
    return state;
  }
}

/** Files in memory whose syncs take a random time. */
class SlowFiles extends Files {
  readonly #files: FakeFiles;
  readonly #random: Random;

  constructor(files: FakeFiles, random: Random) {
    super();
    this.#files = files;
    this.#random = random;
  }

  override read(path: string): Promise<Buffer | null> {
    return this.#files.read(path);
  }

  override list(): Promise<readonly string[]> {
    return this.#files.list();
  }

  override createFolder(): Promise<void> {
    return this.#files.createFolder();
  }

  override async openTruncated(
    path: string,
    bytes: number,
  ): Promise<AppendOnlyFile> {
    const file = await this.#files.openTruncated(path, bytes);
    return new SlowFile(file, () => this.#wait());
  }

  override rename(from: string, to: string): Promise<void> {
    return this.#files.rename(from, to);
  }

  override remove(path: string): Promise<void> {
    return this.#files.remove(path);
  }

  override async syncFolder(): Promise<void> {
    await this.#wait();
    await this.#files.syncFolder();
  }

  #wait(): Promise<void> {
    const milliseconds = this.#random() * maximumSyncMilliseconds;
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}

class SlowFile extends AppendOnlyFile {
  readonly #file: AppendOnlyFile;
  readonly #wait: () => Promise<void>;

  constructor(file: AppendOnlyFile, wait: () => Promise<void>) {
    super();
    this.#file = file;
    this.#wait = wait;
  }

  override append(bytes: Uint8Array): Promise<void> {
    return this.#file.append(bytes);
  }

  override async sync(): Promise<void> {
    await this.#wait();
    await this.#file.sync();
  }

  override close(): Promise<void> {
    return this.#file.close();
  }
}

// Creates an unused data folder whose identity is the same in each run, as the
// time of an election depends on it.
function createDisk(vm: string): FakeFiles {
  const disk = new FakeFiles();
  const checksum = crc32(JSON.stringify([1, vm, incarnation]));
  const identity = { format: 1, vm, incarnation, checksum };
  disk.overwrite("identity.json", Buffer.from(JSON.stringify(identity)));
  disk.overwrite("0.log", Buffer.alloc(0));
  return disk;
}

interface Process {
  isAlive: boolean;
  replica: Replica<Numbers, number, number> | null;
}

interface Vm {
  readonly name: string;
  readonly isFounder: boolean;
  disk: FakeFiles;
  process: Process;
}

/**
 * Replicas on disks in memory. Processes are killed at random operations of
 * their disks and start again.
 */
export class FakeReplicaSet {
  /** Numbers whose proposal was acknowledged. */
  readonly acknowledged = new Set<number>();
  /** Called in the moment of each acknowledgement. */
  onAcknowledged: () => void = () => {};
  /** Number of processes that will be killed. */
  remainingKills = 0;
  readonly #random: Random;
  readonly #vms: Vm[] = [];
  readonly #voters: number;
  readonly #founders: readonly string[];
  #nextNumber = 1;

  constructor(
    options: {
      readonly random: Random;
      readonly voters: number;
      readonly standbys: number;
    },
  ) {
    this.#random = options.random;
    this.#voters = options.voters;
    for (let at = 0; at < options.voters + options.standbys; at += 1) {
      this.#vms.push({
        name: `vm-${at + 1}`,
        isFounder: at < options.voters,
        disk: createDisk(`vm-${at + 1}`),
        process: { isAlive: false, replica: null },
      });
    }
    this.#founders = this.#vms.filter((each) => each.isFounder).map(
      ({ name }) => `${name}.${incarnation}`,
    );
  }

  /** Starts each VM, the first ones as the first replica set. */
  start(): void {
    for (const vm of this.#vms) this.#startProcess(vm);
  }

  /** The ready leader, if there is one. */
  get leader(): Replica<Numbers, number, number> | undefined {
    return this.#vms.map((each) => each.process.replica)
      .find((each) => each?.isReadyLeader) ?? undefined;
  }

  /** Proposes the next number to each replica that leads. */
  propose(): void {
    for (const { process } of this.#vms) {
      const { replica } = process;
      if (!replica?.isReadyLeader) continue;
      const number = this.#nextNumber++;
      replica.propose(number).then(() => {
        if (!process.isAlive) return;
        this.acknowledged.add(number);
        this.onAcknowledged();
      }, () => {});
    }
  }

  /** Takes the next step of replacing a voter by a replica that is none. */
  replaceVoter(): void {
    const { leader } = this;
    if (!leader) return;
    const { voters, learners } = configurationOf(leader.consensus);
    const others = voters.filter((each) => each !== leader.id);
    if (voters.length > this.#voters) {
      const removed = others[Math.floor(this.#random() * others.length)];
      leader.proposeConfiguration({
        voters: voters.filter((each) => each !== removed),
        learners,
      });
    } else if (learners.length > 0) {
      leader.proposeConfiguration({
        voters: [...voters, learners[0]!],
        learners: learners.slice(1),
      });
    } else {
      const standby = this.#vms.map((each) => each.process.replica?.id)
        .find((each) => each !== undefined && !voters.includes(each));
      if (!standby) return;
      leader.proposeConfiguration({ voters, learners: [standby] });
    }
  }

  /**
   * Takes the power of all VMs and the disks of some, chosen at random, the
   * leader's more often. The others start again.
   */
  losePowerAndDisks(lostDisks: number): void {
    const leading = this.leader?.id;
    const ranked = this.#vms
      .map((vm) => ({
        vm,
        rank: this.#random() -
          (vm.process.replica?.id === leading ? this.#random() : 0),
      }))
      .sort((left, right) => left.rank - right.rank);
    this.remainingKills = 0;
    ranked.forEach(({ vm }, position) => {
      this.#endProcess(vm);
      const keptShare = this.#random() < 0.5 ? 0 : this.#random();
      vm.disk = vm.disk.losePower(() => this.#random() < keptShare ? 1 : 0);
      if (position >= lostDisks) this.#startProcess(vm);
    });
  }

  /** Stops all replicas. */
  stop(): void {
    this.remainingKills = 0;
    for (const vm of this.#vms) this.#endProcess(vm);
  }

  #startProcess(vm: Vm): void {
    const process: Process = { isAlive: true, replica: null };
    vm.process = process;
    if (this.remainingKills > 0) {
      // Few operations, as the first ones write identities and snapshots.
      const operations = Math.floor(this.#random() ** 2 * maximumOperations);
      vm.disk.failAfter(operations, this.#random());
    }
    this.#run(vm, process).catch(() => this.#kill(vm, process));
  }

  async #run(vm: Vm, process: Process): Promise<void> {
    const files = new SlowFiles(vm.disk, this.#random);
    const options = { vm: vm.name, files };
    let storage = await ReplicaStorage.open(vm.name, options);
    if (vm.isFounder && storage.stored.snapshot === null) {
      const voters = this.#founders;
      await storage.saveSnapshot(emptySnapshot({ voters, learners: [] }), {
        hardState: { term: 0, votedFor: null },
        entries: [],
      });
      await storage.close();
      storage = await ReplicaStorage.open(vm.name, options);
    }
    if (!process.isAlive) return;
    process.replica = new Replica({
      machine: new NumberSet(),
      storage,
      clock,
      send: (message) => this.#send(process, message),
      onChange: () => {},
      onFailure: () => this.#kill(vm, process),
      consensus: consensusTimings,
    });
  }

  #send(from: Process, message: ConsensusMessage): void {
    if (!from.isAlive) return;
    setTimeout(() => {
      const receiver = this.#vms.find(({ process }) =>
        process.isAlive && process.replica?.id === message.to
      );
      receiver?.process.replica?.receive(message);
    }, linkMilliseconds * (0.5 + this.#random()));
  }

  #kill(vm: Vm, process: Process): void {
    if (!process.isAlive) return;
    this.remainingKills = Math.max(0, this.remainingKills - 1);
    this.#endProcess(vm);
    vm.disk = vm.disk.kill();
    const restartsAt = this.#random() * maximumRestartMilliseconds;
    setTimeout(() => {
      if (vm.process === process) this.#startProcess(vm);
    }, restartsAt);
  }

  #endProcess({ process }: Vm): void {
    process.isAlive = false;
    process.replica?.stop().catch(() => {});
    process.replica = null;
  }
}
