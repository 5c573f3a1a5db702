import { readFile } from "node:fs/promises";
import { createSecureContext } from "node:tls";
import { SettingsError } from "./read.ts";
import type { ResolvedSettings } from "./schema.ts";

/** Name of a listener in the settings. */
export type ListenerName = ResolvedSettings["tls"]["listeners"][number];

/** Certificate, private key and certificate authority, PEM. */
export interface TlsMaterial {
  readonly certificate: Buffer;
  readonly key: Buffer;
  readonly authority: Buffer;
}

/** TLS configuration as the settings specify it. */
export interface ResolvedTls {
  /** Listeners that use TLS. */
  readonly listeners: ReadonlySet<ListenerName>;
  /** Undefined if no listener uses TLS. */
  readonly material: TlsMaterial | undefined;
}

/**
 * Reads the certificate files if any listener uses TLS.
 *
 * @throws {SettingsError} when a file is missing or unreadable, or when they do
 * not match.
 */
export async function readTls(
  settings: ResolvedSettings,
): Promise<ResolvedTls> {
  const { tls } = settings;
  const listeners = new Set(tls.listeners);
  if (listeners.size === 0) return { listeners, material: undefined };
  const material = {
    certificate: await readPem("tls.certificateFile", tls.certificateFile),
    key: await readPem("tls.keyFile", tls.keyFile),
    authority: await readPem("tls.authorityFile", tls.authorityFile),
  };
  checkMaterial(material);
  return { listeners, material };
}

async function readPem(
  setting: string,
  path: string | undefined,
): Promise<Buffer> {
  if (path === undefined) {
    throw new SettingsError(
      `${setting} is missing; the listeners in tls.listeners require it`,
    );
  }
  try {
    return await readFile(path);
  } catch (cause) {
    throw new SettingsError(
      `${setting}: ${path} cannot be read; check the path and its permissions`,
      { cause },
    );
  }
}

function checkMaterial(material: TlsMaterial): void {
  try {
    createSecureContext({
      cert: material.certificate,
      key: material.key,
      ca: material.authority,
    });
  } catch (cause) {
    throw new SettingsError(
      `tls: the certificate, key and authority cannot be used together: ${
        (cause as Error).message
      }; check the three files`,
      { cause },
    );
  }
}
