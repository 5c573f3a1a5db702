import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Fleet } from "@kingcupglade/protocol";
import { UnaryServices } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { PeerClients } from "./peer_clients.ts";

const secret = "a-secret-of-the-peer-clients-test";

describe("PeerClients", () => {
  const warn = vi.fn();
  let clients: PeerClients;
  let server: Server;
  let address: string;

  async function listen(handler: RequestListener): Promise<void> {
    server = createServer(handler);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  const watch = (timeoutMs: number) =>
    clients.client(address, Fleet).watch({}, { timeoutMs });

  beforeEach(() => {
    warn.mockClear();
    clients = new PeerClients({ secret, logger: { warn } });
  });

  afterEach(() => {
    clients.close();
    server.closeAllConnections();
    server.close();
  });

  it("logs that a VM was silent on an open connection", async () => {
    await listen(() => {});
    await expect(watch(100)).rejects.toThrow("did not respond in time");
    expect(warn).toHaveBeenCalledExactlyOnceWith("peer-silent", { address });
  });

  it("logs nothing if the response had begun", async () => {
    await listen((_request, response) => {
      response.writeHead(200).write("a");
    });
    await expect(watch(100)).rejects.toThrow("did not respond in time");
    expect(warn).not.toHaveBeenCalled();
  });

  it("logs nothing about responses in time", async () => {
    const services = new UnaryServices({ secret });
    services.service(Fleet, { watch: () => ({}) });
    await listen((request, response) =>
      void services.handle(request, response)
    );
    await watch(1000);
    expect(warn).not.toHaveBeenCalled();
  });
});
