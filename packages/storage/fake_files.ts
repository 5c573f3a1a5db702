import { basename } from "node:path";
import { AppendFile, Files } from "./files.ts";

interface Content {
  bytes: Buffer;
  /** Bytes that survive a crash. */
  synced: number;
}

/** One folder in memory whose disk fails, or loses its power, on demand. */
export class FakeFiles extends Files {
  #current = new Map<string, Content>();
  #synced = new Map<string, Content>();
  #operations = 0;
  #failsAt = Infinity;

  /** Operations so far that change the disk. */
  get operations(): number {
    return this.#operations;
  }

  /** Lets every changing operation fail after this many more. */
  failAfter(operations: number): void {
    this.#failsAt = this.#operations + operations;
  }

  /**
   * What a new process finds after a power cut: all that was written, or only
   * what was synced and `tornBytes` of what was not.
   */
  crash(
    options: { readonly keepsUnsynced: boolean; readonly tornBytes?: number },
  ): FakeFiles {
    const { keepsUnsynced, tornBytes = 0 } = options;
    const left = new FakeFiles();
    const entries = keepsUnsynced ? this.#current : this.#synced;
    for (const [name, { bytes, synced }] of entries) {
      const end = keepsUnsynced ? bytes.length : synced + tornBytes;
      left.overwrite(name, bytes.subarray(0, end));
    }
    return left;
  }

  /** Replaces a file behind the back of the storage. */
  overwrite(name: string, bytes: Buffer): void {
    const content = { bytes: Buffer.from(bytes), synced: bytes.length };
    this.#current.set(name, content);
    this.#synced.set(name, content);
  }

  /** Names of the files. */
  get names(): readonly string[] {
    return [...this.#current.keys()];
  }

  override read(path: string): Promise<Buffer | null> {
    const content = this.#current.get(basename(path));
    return Promise.resolve(content ? Buffer.from(content.bytes) : null);
  }

  override list(): Promise<readonly string[]> {
    return Promise.resolve(this.names);
  }

  override createFolder(): Promise<void> {
    return Promise.resolve();
  }

  override openAt(path: string, bytes: number): Promise<AppendFile> {
    return this.#change(() => {
      const known = this.#current.get(basename(path));
      const content = known ?? { bytes: Buffer.alloc(0), synced: 0 };
      content.bytes = content.bytes.subarray(0, bytes);
      content.synced = Math.min(content.synced, bytes);
      this.#current.set(basename(path), content);
      return new FakeAppendFile(content, (action) => this.#change(action));
    });
  }

  override rename(from: string, to: string): Promise<void> {
    return this.#change(() => {
      this.#current.set(basename(to), this.#current.get(basename(from))!);
      this.#current.delete(basename(from));
    });
  }

  override remove(path: string): Promise<void> {
    return this.#change(() => void this.#current.delete(basename(path)));
  }

  override syncFolder(): Promise<void> {
    return this.#change(() => void (this.#synced = new Map(this.#current)));
  }

  #change<Result>(action: () => Result): Promise<Result> {
    if (this.#operations >= this.#failsAt) {
      return Promise.reject(new Error("ENOSPC: no space left on device"));
    }
    this.#operations += 1;
    return Promise.resolve(action());
  }
}

class FakeAppendFile extends AppendFile {
  readonly #content: Content;
  readonly #change: (action: () => void) => Promise<void>;

  constructor(
    content: Content,
    change: (action: () => void) => Promise<void>,
  ) {
    super();
    this.#content = content;
    this.#change = change;
  }

  override append(bytes: Uint8Array): Promise<void> {
    const content = this.#content;
    return this.#change(() => {
      content.bytes = Buffer.concat([content.bytes, bytes]);
    });
  }

  override sync(): Promise<void> {
    const content = this.#content;
    return this.#change(() => void (content.synced = content.bytes.length));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
