import { setTimeout as pause } from "node:timers/promises";
import type { ConsensusMessage } from "@kingcupglade/consensus";
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
});
