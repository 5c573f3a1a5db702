import { afterEach, describe, expect, it } from "vitest";
import { MemberFault, ReplicaGroup } from "./replica_group.ts";
import { announce } from "./suite/commit.ts";

describe("three replicas on real sockets and folders", () => {
  let group: ReplicaGroup;

  afterEach(() => group.stop());

  it("hand over the lead in a planned stop", async () => {
    group = await ReplicaGroup.start(3);
    const leader = await group.untilLeader();
    expect(await leader.handOver(1000)).toBe(true);
    const next = await group.untilLeader();
    expect(next.id).not.toBe(leader.id);
  });

  it("bring one that missed hundreds of changes up to date", async () => {
    group = await ReplicaGroup.start(3);
    const leader = await group.untilLeader();
    const behind = (group.leader()! + 1) % 3;
    await group.crash(behind);
    for (let round = 0; round < 24; round += 1) {
      await Promise.all(
        Array.from({ length: 64 }, () => leader.propose(announce())),
      );
    }
    await group.restart(behind);
    const { version } = leader.control;
    const until = performance.now() + 20_000;
    while (performance.now() < until) {
      if (group.replica(behind).control.version >= version) break;
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    expect(group.replica(behind).consensus.snapshot.index).toBeGreaterThan(400);
    expect(group.replica(behind).control.version)
      .toBeGreaterThanOrEqual(version);
  });

  it("revert nothing when a leader cut off with a proposal returns", async () => {
    group = await ReplicaGroup.start(3);
    const leader = await group.untilLeader();
    const at = group.leader()!;
    group.setFault(at, MemberFault.cutOff);
    await expect(leader.propose(announce())).rejects.toThrow("is not known");
    const next = await group.untilLeader(at);
    await next.propose(announce());
    const { version } = next.control;
    group.setFault(at, MemberFault.none);
    const until = performance.now() + 20_000;
    while (performance.now() < until && leader.control.version < version) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    expect(leader.control.version).toBeGreaterThanOrEqual(version);
    expect(leader.isReadyLeader).toBe(false);
  });
});
