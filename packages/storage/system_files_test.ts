import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SystemFiles } from "./files.ts";

class RecordingFiles extends SystemFiles {
  readonly synced: string[] = [];

  override async syncFolder(path: string): Promise<void> {
    this.synced.push(path);
    await super.syncFolder(path);
  }
}

describe("SystemFiles", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "kingcupglade-files-"));
  });

  afterEach(() => rm(folder, { recursive: true }));

  // Guards against: a loss of power that took the data folder, because only the
  // first of several new folders was durable.
  it("syncs the parent of each folder that it creates", async () => {
    const files = new RecordingFiles();
    await files.createFolder(join(folder, "a", "b", "c"));
    expect(new Set(files.synced)).toEqual(
      new Set([folder, join(folder, "a"), join(folder, "a", "b")]),
    );
  });

  it("syncs nothing for a folder that exists", async () => {
    const files = new RecordingFiles();
    await files.createFolder(folder);
    expect(files.synced).toEqual([]);
  });
});
