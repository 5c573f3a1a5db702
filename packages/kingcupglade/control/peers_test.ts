import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { SilenceableProxy } from "@kingcupglade/fakes";
import { Replication } from "@kingcupglade/protocol";
import { UnaryServices } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PeerDirectory } from "./peers.ts";

const secret = "a-secret-of-the-peers-test";

describe("PeerDirectory", () => {
  let server: Server;
  let proxy: SilenceableProxy;
  let peers: PeerDirectory;

  beforeEach(async () => {
    const services = new UnaryServices({ secret });
    services.service(Replication, { hello: () => ({ member: true }) });
    server = createServer((request, response) =>
      void services.handle(request, response)
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    proxy = new SilenceableProxy(`127.0.0.1:${port}`);
    const addresses = { "vm-1": await proxy.listen("127.0.0.1") };
    peers = new PeerDirectory({ addresses, secret });
  });

  afterEach(() => {
    peers.close();
    proxy.close();
    server.closeAllConnections();
    server.close();
  });

  // Failure: each call met the next silent connection and timed out, so that a
  // leader lost its followers.
  it("uses new connections to a VM once one of them was silent", async () => {
    const client = peers.client("vm-1", Replication)!;
    const callAll = () => Promise.all([1, 2, 3].map(() => client.hello({})));
    await callAll();
    expect(proxy.openCount).toBe(3);
    proxy.silenceOpenConnections();
    await expect(client.hello({}, { timeoutMs: 100 })).rejects.toThrow(
      "did not respond in time",
    );
    expect((await client.hello({}, { timeoutMs: 1000 })).member).toBe(true);
    await callAll();
  });
});
