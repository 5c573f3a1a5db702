import { SilenceableReplica } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PeerDirectory } from "./peers.ts";
import { ReplicaSender } from "./replica_sender.ts";

const secret = "a-secret-of-the-replica-sender-test";
/** Interval of a leader's heartbeats. */
const heartbeatMilliseconds = 200;
/** Silence after which a follower stands for election, at the earliest. */
const electionMilliseconds = 600;

describe("ReplicaSender", () => {
  let replica: SilenceableReplica;
  let peers: PeerDirectory;
  let sender: ReplicaSender;

  beforeEach(async () => {
    replica = new SilenceableReplica({ secret });
    await replica.start();
    peers = new PeerDirectory({
      addresses: { "vm-2": replica.address },
      secret,
    });
    sender = new ReplicaSender({ peers, self: "vm-1.a", onMessages: () => {} });
  });

  afterEach(() => {
    peers.close();
    replica.stop();
  });

  // Failure: a leader whose next heartbeat went out on a silent connection was
  // replaced, as the one after it came too late.
  it("delivers a heartbeat before followers stand for election", async () => {
    const { arrivals } = replica;
    const timer = setInterval(
      () =>
        sender.send({
          kind: "timeoutNow",
          from: "vm-1.a",
          to: "vm-2.b",
          term: 1,
        }),
      heartbeatMilliseconds,
    );
    try {
      await expect.poll(() => arrivals.length).toBeGreaterThan(2);
      const count = arrivals.length;
      const heardAt = replica.silence();
      await expect.poll(() => arrivals.length, { timeout: 3000 })
        .toBeGreaterThan(count);
      expect(arrivals[count]! - heardAt).toBeLessThan(electionMilliseconds);
    } finally {
      clearInterval(timer);
    }
  });
});
