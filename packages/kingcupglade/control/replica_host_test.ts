import { afterEach, describe, expect, it, vi } from "vitest";
import { FakeFiles } from "@kingcupglade/storage/fake_files.ts";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import type { ResolvedSettings } from "../settings/schema.ts";
import { chooseBootstrapStep } from "./bootstrap.ts";
import { NotLeaderError, UnknownOutcomeError } from "./errors.ts";
import { PeerDirectory } from "./peers.ts";
import { ReplicaHost } from "./replica_host.ts";

const settings = {
  vm: { name: "vm-1", dataCentre: "north-1", region: "north" },
  control: { voters: ["vm-1"] },
} as unknown as ResolvedSettings;

const command = { kind: "removeVm", name: "vm-9", boot: "boot" } as const;

function createLogger() {
  const log = { debug: vi.fn(), info: vi.fn(), warn: vi.fn(), error: vi.fn() };
  return log;
}

describe("ReplicaHost", () => {
  const hosts: ReplicaHost[] = [];

  afterEach(async () => {
    for (const host of hosts.splice(0)) await host.stop().catch(() => {});
  });

  async function openHost(files: FakeFiles, logger = createLogger()) {
    const host = await ReplicaHost.open({
      settings,
      folder: "/data",
      files,
      peers: new PeerDirectory({ addresses: {}, secret: "secret" }),
      clock: new MonotonicClock(),
      logger,
      metrics: createMetrics(),
      onChange: () => {},
    });
    if (host) hosts.push(host);
    return host;
  }

  async function startLeader(files: FakeFiles, logger = createLogger()) {
    const host = (await openHost(files, logger))!;
    await vi.waitUntil(() => host.replica?.isReadyLeader, { timeout: 10_000 });
    return { host, replica: host.replica! };
  }

  describe("with a disk that becomes full", () => {
    it("stops the replica, logs the failure once and keeps the data", async () => {
      const files = new FakeFiles();
      const logger = createLogger();
      const { host, replica } = await startLeader(files, logger);
      await replica.propose(command);
      const { version } = replica.control;
      files.failAfter(0);
      await expect(replica.propose(command)).rejects.toThrow(
        UnknownOutcomeError,
      );
      await expect(replica.propose(command)).rejects.toThrow(NotLeaderError);
      expect(host.replica).toBeUndefined();
      expect(logger.error).toHaveBeenCalledTimes(1);
      expect(logger.error.mock.calls[0]![1].reason).toContain("free the disk");
      const restarted = await startLeader(
        files.crash({ keepsUnsynced: false }),
      );
      expect(restarted.replica.control.version).toBeGreaterThan(version);
    });
  });

  // Guards against: a log that does not tell what a replica worked from after
  // a start.
  it("logs what it read from the folder", async () => {
    const files = new FakeFiles();
    const { host, replica } = await startLeader(files);
    await replica.propose(command);
    const { term } = replica.consensus;
    const log = files.names.find((each) => each.endsWith(".log"))!;
    const bytes = (await files.read(log))!;
    await host.stop();
    const torn = files.kill();
    torn.overwrite(log, Buffer.concat([bytes, bytes.subarray(0, 9)]));
    const logger = createLogger();
    const restarted = (await openHost(torn, logger))!;
    expect(logger.info.mock.calls[0]).toEqual(["data-folder-opened", {
      replica: restarted.id,
      snapshotIndex: 0,
      entries: 2,
      term,
      cutBytes: 9,
    }]);
  });

  describe("while it stores the initial replica set", () => {
    it("reports the founders in its hello", async () => {
      const host = (await openHost(new FakeFiles()))!;
      const founders = [host.id, "vm-2.b"];
      const founding = host.bootstrap(founders);
      expect(host.hello).toEqual({ replica: host.id, member: true, founders });
      expect(await founding).toBe(true);
      expect(host.hello.founders).toEqual(founders);
    });
  });

  describe("with a damaged folder", () => {
    it("logs the damaged file and starts without a replica", async () => {
      const files = new FakeFiles();
      const { replica } = await startLeader(files);
      await replica.propose(command);
      const snapshot = (await files.read("snapshot"))!;
      snapshot[20]! ^= 0xff;
      files.overwrite("snapshot", snapshot);
      const logger = createLogger();
      const restartedFiles = files.crash({ keepsUnsynced: false });
      expect(await openHost(restartedFiles, logger)).toBeUndefined();
      expect(logger.error.mock.calls[0]![1].reason).toContain("snapshot");
    });
  });

  describe("with a log of more than a thousand changes", () => {
    it("truncates the log and restarts from the snapshot", async () => {
      const files = new FakeFiles();
      const { replica } = await startLeader(files);
      for (let round = 0; round < 22; round += 1) {
        await Promise.all(
          Array.from({ length: 64 }, () => replica.propose(command)),
        );
      }
      const { entries, snapshot } = replica.consensus;
      expect(snapshot.index).toBeGreaterThan(400);
      expect(entries.length).toBeLessThan(1100);
      expect(files.names.filter((each) => each.endsWith(".log")).length)
        .toBeLessThan(3);
      const restarted = await startLeader(
        files.crash({ keepsUnsynced: false }),
      );
      expect(restarted.replica.control.version)
        .toBeGreaterThan(replica.control.version);
    });
  });
});

describe("chooseBootstrapStep", () => {
  const unused = (replica: string) => ({
    replica,
    member: false,
    founders: [],
  });
  const founders = ["vm-1.a", "vm-2.b", "vm-3.c"];
  const member = { replica: "vm-2.b", member: true, founders };

  it("bootstraps only on the first VM, and only if all folders are unused", () => {
    const hellos = founders.map(unused);
    const chooseStep = (mayFound: boolean, responses = hellos.slice()) =>
      chooseBootstrapStep(responses, { self: "vm-1.a", mayFound }).step;
    expect(chooseStep(true)).toBe("bootstrap");
    expect(chooseStep(false)).toBe("wait");
    const withSilentVoter = chooseBootstrapStep(
      [hellos[0]!, null, hellos[2]!],
      {
        self: "vm-1.a",
        mayFound: true,
      },
    );
    expect(withSilentVoter.step).toBe("wait");
  });

  it("joins a set that includes its replica, otherwise serves as a standby", () => {
    const hellos = [unused("vm-1.a"), member, null];
    const decide = (self: string) =>
      chooseBootstrapStep(hellos, { self, mayFound: true });
    expect(decide("vm-1.a")).toEqual({ step: "join", replicas: founders });
    expect(decide("vm-1.wiped").step).toBe("serveAsStandby");
  });
});
