import { basename } from "node:path";
import { FakeFile } from "./fake_file.ts";
import type { Keep } from "./fake_file.ts";
import { AppendOnlyFile, Files } from "./files.ts";

/** What makes the name of a new file durable. */
export const NewFileDurability = {
  /** The sync of its folder, as POSIX requires it. */
  folderSync: "folderSync",
  /** The first sync of the file, as some file systems do. */
  fileSync: "fileSync",
} as const;
export type NewFileDurability =
  typeof NewFileDurability[keyof typeof NewFileDurability];

interface NameChange {
  readonly kind: "create" | "rename" | "remove";
  readonly removed: string | null;
  readonly added: string | null;
  readonly file: FakeFile;
  isDurable: boolean;
}

/** Options of {@link FakeFiles}. */
export interface FakeFilesOptions {
  /** @default NewFileDurability.folderSync */
  readonly newFiles?: NewFileDurability;
}

/**
 * An in-memory folder whose disk can fail or lose power on demand. It keeps
 * apart what was written and what is durable, also when another process opens
 * the folder.
 */
export class FakeFiles extends Files {
  readonly #newFiles: NewFileDurability;
  #files = new Map<string, FakeFile>();
  #syncedFiles = new Map<string, FakeFile>();
  /** Changes of names since the last sync of the folder, in order. */
  #changes: NameChange[] = [];
  #openFiles = 0;
  #operations = 0;
  #failAtOperation = Infinity;
  #writtenShare = 0;

  constructor(options: FakeFilesOptions = {}) {
    super();
    this.#newFiles = options.newFiles ?? NewFileDurability.folderSync;
  }

  /** Number of operations so far that modified the disk. */
  get operations(): number {
    return this.#operations;
  }

  /** Number of files that were opened and not closed. */
  get openFiles(): number {
    return this.#openFiles;
  }

  /** Whether operations succeed. */
  get works(): boolean {
    return this.#failAtOperation === Infinity;
  }

  /** Number of operations that a loss of power may undo. */
  get unsyncedOperations(): number {
    const names = this.#changes.filter((each) => !each.isDurable).length;
    let writes = 0;
    for (const file of this.#allFiles()) writes += file.unsyncedWrites;
    return names + writes;
  }

  /** Names of the files. */
  get names(): readonly string[] {
    return [...this.#files.keys()];
  }

  /**
   * Makes every modifying operation fail after this many more succeed. If the
   * first one that fails is an append, it writes a share of its bytes.
   */
  failAfter(operations: number, writtenShare = 0): void {
    this.#failAtOperation = this.#operations + operations;
    this.#writtenShare = writtenShare;
  }

  /** Lets operations succeed again. */
  repair(): void {
    this.#failAtOperation = Infinity;
  }

  /**
   * Returns the files that a new process finds after the process was killed:
   * everything that was written, with no more of it durable than before.
   */
  kill(): FakeFiles {
    const copies = new Map<FakeFile, FakeFile>();
    for (const file of this.#allFiles()) copies.set(file, file.copy());
    const copyOf = (files: ReadonlyMap<string, FakeFile>) =>
      new Map([...files].map(([name, file]) => [name, copies.get(file)!]));
    const next = new FakeFiles({ newFiles: this.#newFiles });
    next.#files = copyOf(this.#files);
    next.#syncedFiles = copyOf(this.#syncedFiles);
    next.#changes = this.#changes.map((each) => ({
      ...each,
      file: copies.get(each.file)!,
    }));
    return next;
  }

  /**
   * Returns the files that a new process finds after a loss of power, in which
   * each unsynced operation is kept, lost or torn on its own.
   */
  losePower(keep: Keep): FakeFiles {
    const names = new Map(this.#syncedFiles);
    for (const change of this.#changes) {
      if (change.isDurable || Math.abs(keep(null)) >= 0.5) {
        applyChange(names, change);
      }
    }
    const contents = new Map<FakeFile, Buffer>();
    for (const file of names.values()) {
      if (!contents.has(file)) contents.set(file, file.afterLoss(keep));
    }
    const survivor = new FakeFiles({ newFiles: this.#newFiles });
    for (const [name, file] of names) {
      survivor.overwrite(name, contents.get(file)!);
    }
    return survivor;
  }

  /**
   * Returns the files that a new process finds after a loss of power that kept
   * everything that was written, or only what was synced plus `tornBytes` of
   * each unsynced write.
   */
  crash(
    options: { readonly keepsUnsynced: boolean; readonly tornBytes?: number },
  ): FakeFiles {
    const { keepsUnsynced, tornBytes = 0 } = options;
    if (keepsUnsynced) return this.losePower(() => 1);
    return this.losePower((bytes) =>
      bytes === null ? 0 : Math.min(1, tornBytes / bytes)
    );
  }

  /** Replaces a file directly and durably, without counting an operation. */
  overwrite(name: string, bytes: Buffer): void {
    const file = new FakeFile(bytes);
    this.#files.set(name, file);
    this.#syncedFiles.set(name, file);
  }

  override read(path: string): Promise<Buffer | null> {
    const file = this.#files.get(basename(path));
    return Promise.resolve(file ? Buffer.from(file.content) : null);
  }

  override list(): Promise<readonly string[]> {
    return Promise.resolve(this.names);
  }

  override createFolder(): Promise<void> {
    return Promise.resolve();
  }

  override openTruncated(path: string, bytes: number): Promise<AppendOnlyFile> {
    return this.#mutate(() => {
      const name = basename(path);
      const file = this.#files.get(name) ?? this.#create(name);
      file.truncate(bytes);
      this.#openFiles += 1;
      return new FakeAppendOnlyFile({
        append: (written) => this.#append(file, written),
        sync: () => this.#mutate(() => this.#sync(file)),
        close: () => Promise.resolve(void (this.#openFiles -= 1)),
      });
    });
  }

  override rename(from: string, to: string): Promise<void> {
    return this.#mutate(() =>
      this.#change({
        kind: "rename",
        removed: basename(from),
        added: basename(to),
        file: this.#files.get(basename(from))!,
      })
    );
  }

  override remove(path: string): Promise<void> {
    return this.#mutate(() => {
      const file = this.#files.get(basename(path));
      if (!file) return;
      const removed = basename(path);
      this.#change({ kind: "remove", removed, added: null, file });
    });
  }

  override syncFolder(): Promise<void> {
    return this.#mutate(() => {
      this.#syncedFiles = new Map(this.#files);
      this.#changes = [];
    });
  }

  #create(name: string): FakeFile {
    const file = new FakeFile();
    this.#change({ kind: "create", removed: null, added: name, file });
    return file;
  }

  #change(change: Omit<NameChange, "isDurable">): void {
    applyChange(this.#files, change);
    this.#changes.push({ ...change, isDurable: false });
  }

  #append(file: FakeFile, bytes: Uint8Array): Promise<void> {
    const isFirstFailure = this.#operations === this.#failAtOperation;
    if (isFirstFailure && this.#writtenShare > 0) {
      this.#failAtOperation = -1;
      file.append(
        bytes.subarray(0, Math.floor(bytes.length * this.#writtenShare)),
      );
    }
    return this.#mutate(() => file.append(bytes));
  }

  #sync(file: FakeFile): void {
    file.sync();
    if (this.#newFiles === NewFileDurability.folderSync) return;
    for (const change of this.#changes) {
      if (change.file === file && change.kind === "create") {
        change.isDurable = true;
      }
    }
  }

  #allFiles(): ReadonlySet<FakeFile> {
    return new Set([
      ...this.#files.values(),
      ...this.#syncedFiles.values(),
      ...this.#changes.map((each) => each.file),
    ]);
  }

  #mutate<Result>(action: () => Result): Promise<Result> {
    if (this.#operations >= this.#failAtOperation) {
      return Promise.reject(new Error("ENOSPC: no space left on device"));
    }
    this.#operations += 1;
    return Promise.resolve(action());
  }
}

function applyChange(
  files: Map<string, FakeFile>,
  { removed, added, file }: Omit<NameChange, "isDurable">,
): void {
  if (removed !== null) files.delete(removed);
  if (added !== null) files.set(added, file);
}

class FakeAppendOnlyFile extends AppendOnlyFile {
  readonly #operations: Pick<AppendOnlyFile, "append" | "sync" | "close">;
  #isClosed = false;

  constructor(
    operations: Pick<AppendOnlyFile, "append" | "sync" | "close">,
  ) {
    super();
    this.#operations = operations;
  }

  override append(bytes: Uint8Array): Promise<void> {
    return this.#operations.append(bytes);
  }

  override sync(): Promise<void> {
    return this.#operations.sync();
  }

  override async close(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    await this.#operations.close();
  }
}
