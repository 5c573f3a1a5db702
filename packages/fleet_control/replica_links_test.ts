import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { SilenceableProxy } from "@kingcupglade/fakes";
import { Replication } from "@kingcupglade/protocol";
import { UnaryServices } from "@kingcupglade/transport";
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
    let server: Server;
    let proxy: SilenceableProxy;
    let to: string;
    /** Times at which messages arrived. */
    let arrivals: number[];

    beforeEach(async () => {
      arrivals = [];
      const services = new UnaryServices({ secret: "unguarded" });
      services.service(Replication, {
        deliver: () => {
          arrivals.push(performance.now());
          return { messages: [] };
        },
      });
      server = createServer((request, response) =>
        void services.handle(request, response)
      );
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      proxy = new SilenceableProxy(`127.0.0.1:${port}`);
      to = `${await proxy.listen("127.0.0.1")}.b`;
    });

    afterEach(() => {
      proxy.close();
      server.closeAllConnections();
      server.close();
    });

    // Failure: a leader whose next heartbeat went out on a silent connection was
    // replaced, as the one after it came too late.
    it("delivers a heartbeat before followers stand for election", async () => {
      const heartbeat = (): ConsensusMessage => ({
        kind: "timeoutNow",
        from: "127.0.0.1:9.a",
        to,
        term: 1,
      });
      const timer = setInterval(
        () => links.send(heartbeat()),
        heartbeatMilliseconds,
      );
      try {
        await expect.poll(() => arrivals.length).toBeGreaterThan(2);
        const heardAt = arrivals.at(-1)!;
        const count = arrivals.length;
        proxy.silenceOpenConnections();
        await expect.poll(() => arrivals.length, { timeout: 3000 })
          .toBeGreaterThan(count);
        expect(arrivals[count]! - heardAt).toBeLessThan(electionMilliseconds);
      } finally {
        clearInterval(timer);
      }
    });
  });
});
