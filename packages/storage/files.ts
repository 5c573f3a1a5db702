import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, resolve } from "node:path";

/** A file that can only be appended to. */
export abstract class AppendOnlyFile {
  abstract append(bytes: Uint8Array): Promise<void>;
  /** Makes everything appended so far durable. */
  abstract sync(): Promise<void>;
  abstract close(): Promise<void>;
}

/** The file system operations that a data folder needs. */
export abstract class Files {
  /** Returns the content of a file, or null if it does not exist. */
  abstract read(path: string): Promise<Buffer | null>;
  abstract list(folder: string): Promise<readonly string[]>;
  /** Creates a folder and its missing parents, and makes them durable. */
  abstract createFolder(path: string): Promise<void>;
  /** Opens a file, creating it if missing, and truncates it to `bytes`. */
  abstract openTruncated(path: string, bytes: number): Promise<AppendOnlyFile>;
  abstract rename(from: string, to: string): Promise<void>;
  abstract remove(path: string): Promise<void>;
  /** Makes file creations, renames and removals in a folder durable. */
  abstract syncFolder(path: string): Promise<void>;

  /** Replaces a file atomically: after a crash it has the old or the new content. */
  async replace(path: string, content: Uint8Array): Promise<void> {
    const temporary = `${path}${temporarySuffix}`;
    const file = await this.openTruncated(temporary, 0);
    try {
      await file.append(content);
      await file.sync();
    } finally {
      await file.close();
    }
    await this.rename(temporary, path);
    await this.syncFolder(dirname(path));
  }
}

/** Name suffix of a file that is not complete yet. */
export const temporarySuffix = ".new";

/** Implements {@link Files} with the file system of the operating system. */
export class SystemFiles extends Files {
  override async read(path: string): Promise<Buffer | null> {
    try {
      return await readFile(path);
    } catch (cause) {
      if (isNotFoundError(cause)) return null;
      throw cause;
    }
  }

  override async list(folder: string): Promise<readonly string[]> {
    return await readdir(folder);
  }

  override async createFolder(path: string): Promise<void> {
    const folder = resolve(path);
    const first = await mkdir(folder, { recursive: true });
    if (first === undefined) return;
    for (let created = folder;; created = dirname(created)) {
      await this.syncFolder(dirname(created));
      if (created === first || created === dirname(created)) return;
    }
  }

  override async openTruncated(
    path: string,
    bytes: number,
  ): Promise<AppendOnlyFile> {
    const file = await open(path, "a");
    try {
      const { size } = await file.stat();
      if (size > bytes) await file.truncate(bytes);
      return new SystemAppendOnlyFile(file);
    } catch (failure) {
      await file.close();
      throw failure;
    }
  }

  override async rename(from: string, to: string): Promise<void> {
    await rename(from, to);
  }

  override async remove(path: string): Promise<void> {
    await rm(path, { force: true });
  }

  override async syncFolder(path: string): Promise<void> {
    const folder = await open(path, "r");
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}

class SystemAppendOnlyFile extends AppendOnlyFile {
  readonly #file: FileHandle;

  constructor(file: FileHandle) {
    super();
    this.#file = file;
  }

  override async append(bytes: Uint8Array): Promise<void> {
    await this.#file.appendFile(bytes);
  }

  override async sync(): Promise<void> {
    await this.#file.datasync();
  }

  override async close(): Promise<void> {
    await this.#file.close();
  }
}

function isNotFoundError(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause && cause.code === "ENOENT";
}
