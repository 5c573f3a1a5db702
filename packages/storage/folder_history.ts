import type { LogEntry } from "@kingcupglade/consensus";
import { StorageError } from "./errors.ts";
import type { FakeFiles } from "./fake_files.ts";
import { ReplicaStorage } from "./replica_storage.ts";

const folder = "/data";
const vm = "vm-1";
const configuration = { voters: ["vm-1.a"], learners: [] };
const payload = new Uint8Array(24);

/** A write of a replica to its data folder. */
export const FolderWrite = {
  append: "append",
  snapshot: "snapshot",
} as const;
export type FolderWrite = typeof FolderWrite[keyof typeof FolderWrite];

/** What a later life of a folder must not show. */
export const FolderFault = {
  /** State that an earlier life worked from is gone. */
  older: "older state",
  /** The state is not one that was written. */
  unknown: "unknown state",
  unusable: "does not open",
  incarnation: "other incarnation",
} as const;
export type FolderFault = typeof FolderFault[keyof typeof FolderFault];

/**
 * The lives of one data folder, one process each. Each append adds an entry
 * with the next index and raises the term to that index, so the term tells
 * which state a life has read.
 */
export class FolderHistory {
  /** The first fault that was found. */
  fault: FolderFault | null = null;
  #incarnation: string | null = null;
  /** Last append that a life has read or that was acknowledged. */
  #relied = 0;
  #attempted = 0;
  #snapshotIndex = 0;

  copy(): FolderHistory {
    const copy = new FolderHistory();
    copy.fault = this.fault;
    copy.#incarnation = this.#incarnation;
    copy.#relied = this.#relied;
    copy.#attempted = this.#attempted;
    copy.#snapshotIndex = this.#snapshotIndex;
    return copy;
  }

  /** Opens the folder and writes to it until the disk fails. */
  async live(files: FakeFiles, writes: readonly FolderWrite[]): Promise<void> {
    const storage = await this.#open(files);
    if (!storage) return;
    try {
      for (const write of writes) await this.#write(storage, write);
    } catch (failure) {
      if (!(failure instanceof StorageError)) throw failure;
    }
  }

  /** Opens the folder with a disk that works, and checks what it holds. */
  async check(files: FakeFiles): Promise<void> {
    files.repair();
    const storage = await this.#open(files);
    if (!storage) this.fault ??= FolderFault.unusable;
  }

  async #open(files: FakeFiles): Promise<ReplicaStorage | null> {
    const works = files.works;
    try {
      const storage = await ReplicaStorage.open(folder, { vm, files });
      this.#compare(storage);
      return storage;
    } catch (failure) {
      if (!(failure instanceof StorageError)) throw failure;
      if (works) this.fault ??= FolderFault.unusable;
      return null;
    }
  }

  #compare({ identity, stored }: ReplicaStorage): void {
    this.#incarnation ??= identity.incarnation;
    if (this.#incarnation !== identity.incarnation) {
      this.fault ??= FolderFault.incarnation;
    }
    const { snapshot, entries, hardState } = stored;
    const last = (snapshot?.index ?? 0) + entries.length;
    if (last !== hardState.term || last > this.#attempted) {
      this.fault ??= FolderFault.unknown;
    }
    if (last < this.#relied) this.fault ??= FolderFault.older;
    this.#relied = Math.max(this.#relied, last);
    this.#attempted = last;
    this.#snapshotIndex = snapshot?.index ?? 0;
  }

  async #write(storage: ReplicaStorage, write: FolderWrite): Promise<void> {
    if (write === FolderWrite.snapshot) return await this.#save(storage);
    const index = this.#attempted + 1;
    this.#attempted = index;
    await storage.append([{
      hardState: hardStateAt(index),
      entries: [entryAt(index)],
    }]);
    this.#relied = index;
  }

  async #save(storage: ReplicaStorage): Promise<void> {
    const last = this.#attempted;
    const index = Math.max(this.#snapshotIndex, last - 1);
    const tail = last > index ? [entryAt(last)] : [];
    await storage.saveSnapshot(
      { index, term: index, configuration, data: payload },
      { hardState: hardStateAt(last), entries: tail },
    );
    this.#snapshotIndex = index;
  }
}

function hardStateAt(index: number) {
  return { term: index, votedFor: null };
}

function entryAt(index: number): LogEntry {
  return { index, term: index, kind: "command", payload };
}
