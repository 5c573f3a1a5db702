import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findSecrets } from "./key_search.ts";

const secret = "k5f0c2a91d77b";

describe("findSecrets", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "key-search-"));
    await mkdir(join(folder, "data"));
  });

  afterEach(() => rm(folder, { recursive: true }));

  function search(exempt: readonly string[] = []) {
    return findSecrets({
      folder,
      secrets: new Map([["a key", secret]]),
      exempt: new Set(exempt.map((each) => join(folder, each))),
    });
  }

  it.each([
    ["as it is", `x{"key":"${secret}-1"}`],
    ["in hexadecimal digits", Buffer.from(`ab${secret}`).toString("hex")],
    ["in capital ones", Buffer.from(secret).toString("hex").toUpperCase()],
    ["in base64", Buffer.from(`${secret}-1`).toString("base64")],
    ["in base64 after one byte", Buffer.from(`:${secret}`).toString("base64")],
    ["after two", Buffer.from(`::${secret};`).toString("base64url")],
  ])("finds a key %s, also in a folder within", async (_, text) => {
    await writeFile(
      join(folder, "data", "log"),
      Buffer.concat([Buffer.from([0, 255]), Buffer.from(text)]),
    );
    await writeFile(join(folder, "other.log"), "nothing");
    expect(await search()).toEqual([
      `${join(folder, "data", "log")} contains a key`,
    ]);
  });

  it("does not search exempt files, and finds no part of a key", async () => {
    await writeFile(join(folder, "secret"), secret);
    await writeFile(join(folder, "part"), secret.slice(1));
    expect(await search(["secret"])).toEqual([]);
  });
});
