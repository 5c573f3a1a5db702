import { randomBytes } from "node:crypto";
import { join } from "node:path";
import { crc32 } from "node:zlib";
import { IdentityError } from "./errors.ts";
import type { Files } from "./files.ts";

const formatVersion = 1;

/** Identifies the VM that owns a data folder, and the folder's incarnation. */
export interface FolderIdentity {
  readonly format: number;
  readonly vm: string;
  /** Random ID from the folder's creation; a wiped folder gets a new one. */
  readonly incarnation: string;
}

/** Options of {@link readIdentity} and {@link createIdentity}. */
export interface IdentityOptions {
  readonly folder: string;
  readonly vm: string;
  readonly files: Files;
}

/**
 * Reads the identity of a data folder; returns null if the folder is unused.
 *
 * @throws {IdentityError} when the folder belongs to another VM, or is used and
 * its identity is missing or invalid.
 */
export async function readIdentity(
  options: IdentityOptions,
): Promise<FolderIdentity | null> {
  const { folder, files } = options;
  const bytes = await files.read(identityPath(folder));
  if (bytes) return validateIdentity(bytes, options);
  for (const file of await files.list(folder)) {
    const isUsed = file === "snapshot" || (file.endsWith(".log") &&
      (await files.read(join(folder, file)))!.length > 0);
    if (!isUsed) continue;
    throw new IdentityError(
      `data folder ${folder} contains a log or a snapshot but no identity.json; restore the file or move the folder away`,
    );
  }
  return null;
}

/** Assigns an unused folder to a VM, with a new incarnation. */
export async function createIdentity(
  options: IdentityOptions,
): Promise<FolderIdentity> {
  const { folder, vm, files } = options;
  const identity: FolderIdentity = {
    format: formatVersion,
    vm,
    incarnation: randomBytes(6).toString("hex"),
  };
  await files.replace(
    identityPath(folder),
    Buffer.from(
      JSON.stringify({ ...identity, checksum: identityChecksum(identity) }),
    ),
  );
  return identity;
}

function validateIdentity(
  bytes: Buffer,
  expected: IdentityOptions,
): FolderIdentity {
  const { folder, vm } = expected;
  const identity = parseIdentity(bytes, folder);
  if (identity.format !== formatVersion) {
    throw new IdentityError(
      `data folder ${folder} has format ${identity.format}; this version supports format ${formatVersion}`,
    );
  }
  if (identity.vm !== vm) {
    throw new IdentityError(
      `data folder ${folder} belongs to VM "${identity.vm}", not "${vm}"; give each VM its own folder`,
    );
  }
  if (identity.checksum !== identityChecksum(identity)) {
    throw new IdentityError(
      `${folder}/identity.json fails its checksum; move the data folder away and start the VM as a standby`,
    );
  }
  return identity;
}

function identityChecksum(identity: FolderIdentity): number {
  const { format, vm, incarnation } = identity;
  return crc32(JSON.stringify([format, vm, incarnation]));
}

function parseIdentity(
  bytes: Buffer,
  folder: string,
): FolderIdentity & { readonly checksum: number } {
  try {
    return JSON.parse(bytes.toString());
  } catch (cause) {
    throw new IdentityError(
      `${folder}/identity.json is not valid JSON; move the data folder away and start the VM as a standby`,
      { cause },
    );
  }
}

function identityPath(folder: string): string {
  return join(folder, "identity.json");
}
