import { open, readFile, rename } from "node:fs/promises";
import { dirname } from "node:path";

/** The file's bytes, or null when it does not exist. */
export async function readIfPresent(path: string): Promise<Buffer | null> {
  try {
    return await readFile(path);
  } catch (cause) {
    if (isMissing(cause)) return null;
    throw cause;
  }
}

/** Replaces a file so that after a crash it is either whole and old or whole and new. */
export async function replaceFile(
  path: string,
  content: Uint8Array,
): Promise<void> {
  const temporary = `${path}.new`;
  const file = await open(temporary, "w");
  try {
    await file.writeFile(content);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(temporary, path);
  await syncFolder(dirname(path));
}

/** Makes creations, renames and removals in a folder last. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, "r");
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

function isMissing(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause && cause.code === "ENOENT";
}
