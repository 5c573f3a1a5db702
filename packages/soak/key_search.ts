import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";

/** Options of {@link findSecrets}. */
export interface SecretSearch {
  /** Folder with settings, data folders and logs. */
  readonly folder: string;
  /** Texts that may occur in no file, by what they are. */
  readonly secrets: ReadonlyMap<string, string>;
  /** Paths of files that are not searched. */
  readonly exempt?: ReadonlySet<string>;
}

/** Returns a text for each file that contains a secret, plain or encoded. */
export async function findSecrets(
  search: SecretSearch,
): Promise<readonly string[]> {
  const { folder, secrets, exempt = new Set() } = search;
  const forms = [...secrets].flatMap(([name, secret]) =>
    encodings(secret).map((form) => ({ name, form }))
  );
  const entries = await readdir(folder, {
    recursive: true,
    withFileTypes: true,
  });
  const paths = entries.filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath, entry.name))
    .filter((path) => !exempt.has(path));
  const violations: string[] = [];
  for (const path of paths) {
    const content = await readFile(path);
    const found = new Set(
      forms.filter(({ form }) => content.includes(form))
        .map(({ name }) => name),
    );
    for (const name of found) violations.push(`${path} contains ${name}`);
  }
  return violations;
}

function encodings(secret: string): readonly string[] {
  const bytes = Buffer.from(secret);
  const hexadecimal = bytes.toString("hex");
  return [
    secret,
    hexadecimal,
    hexadecimal.toUpperCase(),
    ...[0, 1, 2].map((offset) => encodeWithin(bytes, offset)),
  ];
}

/** Base64 digits that depend on the bytes alone, after some other bytes. */
function encodeWithin(bytes: Buffer, offset: number): string {
  const padded = Buffer.concat([Buffer.alloc(offset), bytes]);
  const first = Math.ceil(offset * 8 / 6);
  const end = Math.floor(padded.length * 8 / 6);
  return padded.toString("base64").slice(first, end);
}
