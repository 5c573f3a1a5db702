import { readFile } from "node:fs/promises";

/** Share of the file descriptors that callers may use. */
const callersShare = 0.75;
/** Used where the system does not tell its limit, or a higher one. */
const maximumCallerConnections = 3072;

/**
 * Returns the number of callers' connections that leaves file descriptors for
 * targets, other VMs and readiness checks.
 *
 * @param fileDescriptors Descriptors of the VM; what the system allows the process
 * if undefined, which on some platforms holds for files and not for sockets.
 */
export async function readCallerConnectionLimit(
  fileDescriptors?: number,
): Promise<number> {
  const descriptors = fileDescriptors ?? descriptorLimitOf(await readLimits());
  return Math.min(
    maximumCallerConnections,
    Math.floor(descriptors * callersShare),
  );
}

// Other systems than Linux have no such file.
async function readLimits(): Promise<string> {
  try {
    return await readFile("/proc/self/limits", "utf8");
  } catch {
    return "";
  }
}

/** Returns the soft limit of a text in the form of `/proc/self/limits`. */
export function descriptorLimitOf(text: string): number {
  const [, softLimit] = /^Max open files\s+(\d+)/m.exec(text) ?? [];
  return softLimit === undefined ? Infinity : Number(softLimit);
}
