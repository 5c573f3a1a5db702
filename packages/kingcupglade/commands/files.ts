import { open, readFile, rm, writeFile } from "node:fs/promises";
import { parseSignedBundle } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";

const privateFileMode = 0o600;

/** A file given on the command line cannot be read or written. */
export class FileError extends Error {
  override readonly name = "FileError";
}

/**
 * Reads a text file.
 *
 * @throws {FileError} when it cannot be read.
 */
export async function readTextFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new FileError(
      `${path} cannot be read; check the path and its permissions`,
      { cause },
    );
  }
}

/**
 * Reads a JSON file.
 *
 * @throws {FileError} when it cannot be read or is not JSON.
 */
export async function readJsonFile(path: string): Promise<unknown> {
  const text = await readTextFile(path);
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new FileError(`${path} is not JSON: ${(cause as Error).message}`, {
      cause,
    });
  }
}

/**
 * Reads a bundle document, with or without signatures.
 *
 * @throws {FileError} when it cannot be read or is not JSON.
 * @throws {BundleError} when the structure of its signatures is invalid.
 */
export async function readBundleFile(path: string): Promise<SignedBundle> {
  const document = await readJsonFile(path);
  const isSigned = document !== null && typeof document === "object" &&
    "document" in document;
  return isSigned ? parseSignedBundle(document) : { document, signatures: [] };
}

/**
 * Writes a JSON file.
 *
 * @throws {FileError} when it cannot be written.
 */
export async function writeJsonFile(
  path: string,
  document: unknown,
): Promise<void> {
  try {
    await writeFile(path, `${JSON.stringify(document, null, 2)}\n`);
  } catch (cause) {
    throw createWriteError(path, cause);
  }
}

/**
 * Creates a file that only its owner may read. A partly written file is
 * removed.
 *
 * @throws {FileError} when it exists or cannot be written.
 */
export async function writePrivateFile(
  path: string,
  text: string,
): Promise<void> {
  const file = await open(path, "wx", privateFileMode).catch((cause) => {
    throw createWriteError(path, cause);
  });
  try {
    await file.writeFile(text);
    await file.sync();
  } catch (cause) {
    await rm(path, { force: true });
    throw createWriteError(path, cause);
  } finally {
    await file.close();
  }
}

function createWriteError(path: string, cause: unknown): FileError {
  const { code, message } = cause as NodeJS.ErrnoException;
  return new FileError(
    code === "EEXIST"
      ? `${path} exists already; choose another name`
      : `${path} cannot be written: ${message}; choose another place`,
    { cause },
  );
}
