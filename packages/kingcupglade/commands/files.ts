import { readFile, writeFile } from "node:fs/promises";
import { parseSignedBundle } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";

/** A file named on the command line that cannot be used. */
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
    throw new FileError(`${path} cannot be read; check the path`, { cause });
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

/** Reads a bundle document, or one that has signatures already. */
export async function readBundleFile(path: string): Promise<SignedBundle> {
  const document = await readJsonFile(path);
  const isSigned = document !== null && typeof document === "object" &&
    "document" in document;
  return isSigned ? parseSignedBundle(document) : { document, signatures: [] };
}

/** Writes a JSON file. */
export async function writeJsonFile(
  path: string,
  document: unknown,
): Promise<void> {
  await writeFile(path, `${JSON.stringify(document, null, 2)}\n`);
}
