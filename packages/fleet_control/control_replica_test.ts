import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { ItemKind } from "@kingcupglade/items";
import type { Service } from "@kingcupglade/items";
import { AppendOnlyFile, SystemFiles } from "@kingcupglade/storage";
import { MonotonicClock } from "@kingcupglade/tasks";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ControlReplica } from "./control_replica.ts";
import type { FleetReplica } from "./leader_session.ts";

/** Files whose disk refuses writes on demand. */
class RefusingFiles extends SystemFiles {
  isRefusing = false;
  /** Whether a disk that refuses writes opens files, as a full one does. */
  opensFiles = false;
  openFiles = 0;

  override async openTruncated(
    path: string,
    bytes: number,
  ): Promise<AppendOnlyFile> {
    if (!this.opensFiles) this.refuseIfFaulty();
    const file = await super.openTruncated(path, bytes);
    this.openFiles += 1;
    return new RefusingFile(this, file);
  }

  override async rename(from: string, to: string): Promise<void> {
    this.refuseIfFaulty();
    await super.rename(from, to);
  }

  refuseIfFaulty(): void {
    if (this.isRefusing) throw new Error("EIO: i/o error");
  }
}

class RefusingFile extends AppendOnlyFile {
  readonly #files: RefusingFiles;
  readonly #file: AppendOnlyFile;

  constructor(files: RefusingFiles, file: AppendOnlyFile) {
    super();
    this.#files = files;
    this.#file = file;
  }

  // The bytes arrive in the page cache, as they do when the sync fails.
  override async append(bytes: Uint8Array): Promise<void> {
    if (this.#files.opensFiles) this.#files.refuseIfFaulty();
    await this.#file.append(bytes);
  }

  override async sync(): Promise<void> {
    if (!this.#files.opensFiles) this.#files.refuseIfFaulty();
    await this.#file.sync();
  }

  override async close(): Promise<void> {
    await this.#file.close();
    this.#files.openFiles -= 1;
  }
}

const catalogue: Service = {
  kind: ItemKind.service,
  name: "catalogue",
  maximumConnections: 10,
  coldMilliseconds: 0,
  coldPerSecond: 0,
  loadPath: "",
  isKeyed: false,
};

describe("the replica of a control VM", () => {
  let folder: string;
  let files: RefusingFiles;
  let replica: ControlReplica;
  let folderFailures: number;
  let failures: unknown[];

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "control-replica-"));
    files = new RefusingFiles();
    folderFailures = 0;
    failures = [];
    replica = await ControlReplica.open({
      folder,
      peerAddress: "127.0.0.1:7390",
      clock: new MonotonicClock(),
      files,
      send: () => {},
      onChange: () => {},
      onFolderFailure: () => (folderFailures += 1),
      onFolderReopened: () => {},
      onFailure: (failure) => failures.push(failure),
    });
  });

  afterEach(async () => {
    await replica.stop();
    await rm(folder, { recursive: true });
  });

  async function waitUntilLeading(): Promise<FleetReplica> {
    while (!replica.running?.isReadyLeader) await pause(20);
    return replica.running;
  }

  async function change(version: number): Promise<void> {
    const leader = await waitUntilLeading();
    const outcome = await leader.propose({
      kind: "changeItems",
      change: {
        items: [{ version, content: catalogue, source: "{}" }],
        removals: [],
      },
    });
    expect(outcome.kind).toBe("applied");
  }

  const storedVersions = () =>
    [...replica.running!.state.items.values()].map(({ version }) => version);

  // Guards against a control VM that ends by itself when its disk refuses writes.
  it(
    "runs again after its disk has refused writes, with all that it acknowledged",
    async () => {
      await replica.bootstrap([replica.id]);
      await change(1);
      files.isRefusing = true;
      await expect(change(2)).rejects.toThrow();
      await expect.poll(() => folderFailures, { timeout: 5000 })
        .toBeGreaterThan(1);
      expect(replica.running).toBeUndefined();
      files.isRefusing = false;
      await waitUntilLeading();
      expect(storedVersions()[0]).toBeGreaterThanOrEqual(1);
      await change(3);
      expect(storedVersions()).toEqual([3]);
      expect(failures).toEqual([]);
    },
    20_000,
  );

  // Guards against file descriptors that are used up while a disk is full.
  it("keeps one file open after its disk was full", async () => {
    await replica.bootstrap([replica.id]);
    await change(1);
    files.opensFiles = true;
    files.isRefusing = true;
    await expect(change(2)).rejects.toThrow();
    await expect.poll(() => folderFailures, { timeout: 5000 })
      .toBeGreaterThan(1);
    files.isRefusing = false;
    await change(3);
    expect(files.openFiles).toBe(1);
  }, 20_000);

  // Guards against a control VM that ends by itself when its disk refuses the
  // first replica set.
  it("is founded once its disk takes writes", async () => {
    files.isRefusing = true;
    const founded = replica.bootstrap([replica.id]);
    await expect.poll(() => folderFailures, { timeout: 5000 })
      .toBeGreaterThan(0);
    files.isRefusing = false;
    await founded;
    await change(1);
    expect(failures).toEqual([]);
  }, 20_000);

  it("names the leader that it hears while its disk refuses writes", async () => {
    await replica.bootstrap([replica.id]);
    await change(1);
    files.isRefusing = true;
    await expect(change(2)).rejects.toThrow();
    await expect.poll(() => replica.hasFailedFolder).toBe(true);
    expect(replica.leader).toBeNull();
    const leader = "127.0.0.2:7390.other";
    replica.receive({
      kind: "appendRequest",
      from: leader,
      to: replica.id,
      term: 9,
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      sentAt: 0,
    });
    expect(replica.leader).toBe(leader);
  });
});
