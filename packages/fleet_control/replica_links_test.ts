import { setTimeout as pause } from "node:timers/promises";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { SilenceableReplica } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PeerClients } from "./peer_clients.ts";
import { ReplicaLinks } from "./replica_links.ts";

const noWork = () => Promise.resolve();

// Vitest fails on a rejection that nobody handles.
describe("ReplicaLinks", () => {
  let clients: PeerClients;
  let links: ReplicaLinks;

  beforeEach(() => {
    clients = new PeerClients({ secret: "unguarded" });
    links = new ReplicaLinks({
      clients,
      self: "127.0.0.1:9.a",
      onReply: () => {},
    });
  });

  afterEach(() => clients.close());

  // Guards against one call with an odd sender that ends a control VM.
  it("refuses a caller that names no address, to that caller alone", async () => {
    for (const replica of ["", "odd", "127.0.0.1:99999.a", "a b:1.a"]) {
      await expect(links.answer(replica, noWork)).rejects.toThrow(
        "is not IP:PORT",
      );
    }
    await pause(20);
  });

  it("drops messages to a replica that has no address", async () => {
    const message: ConsensusMessage = {
      kind: "timeoutNow",
      from: "127.0.0.1:9.a",
      to: "odd",
      term: 1,
    };
    links.send(message);
    await pause(20);
    expect(await links.answer("127.0.0.1:9.b", noWork)).toEqual([]);
  });

  describe("to a replica whose connections fall silent", () => {
    /** Interval of a leader's heartbeats. */
    const heartbeatMilliseconds = 200;
    /** Silence after which a follower stands for election, at the earliest. */
    const electionMilliseconds = 600;
    let replica: SilenceableReplica;

    beforeEach(async () => {
      replica = new SilenceableReplica({ secret: "unguarded" });
      await replica.start();
    });

    afterEach(() => replica.stop());

    // Failure: a leader whose next heartbeat went out on a silent connection was
    // replaced, as the one after it came too late.
    it("delivers a heartbeat before followers stand for election", async () => {
      const { arrivals } = replica;
      const timer = setInterval(
        () =>
          links.send({
            kind: "timeoutNow",
            from: "127.0.0.1:9.a",
            to: `${replica.address}.b`,
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
});
