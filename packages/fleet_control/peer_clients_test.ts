import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { SilenceableProxy } from "@kingcupglade/fakes";
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

  // Failure: a connection that fell silent in the middle of a response counted as
  // no silence, and the call waited for all of its time limit.
  it("gives a response up that does not go on", async () => {
    await listen((_request, response) => {
      response.writeHead(200).write("a");
    });
    await expect(watch(5000)).rejects.toThrow("does not go on");
    expect(warn).toHaveBeenCalledExactlyOnceWith("peer-silent", { address });
  });

  it("ends a call that is cancelled", async () => {
    await listen(() => {});
    const ending = new AbortController();
    const call = clients.client(address, Fleet).watch({}, {
      timeoutMs: 5000,
      signal: ending.signal,
    });
    setTimeout(() => ending.abort(), 50);
    await expect(call).rejects.toThrow("cancelled");
    expect(warn).not.toHaveBeenCalled();
  });

  describe("of a VM to which several connections are open", () => {
    let proxy: SilenceableProxy;
    let direct: string;

    beforeEach(async () => {
      const services = new UnaryServices({ secret });
      services.service(Fleet, { watch: () => ({}) });
      await listen((request, response) =>
        void services.handle(request, response)
      );
      proxy = new SilenceableProxy(address);
      direct = address;
      address = await proxy.listen("127.0.0.1");
      await Promise.all([1, 2, 3].map(() => watch(1000)));
      expect(proxy.openCount).toBe(3);
    });

    afterEach(() => {
      proxy.close();
      address = direct;
    });

    // Failure: each call met the next silent connection and timed out, so that
    // a leader lost its followers, and gateways kept an old table.
    it("uses new ones once one of them was silent", async () => {
      proxy.silenceOpenConnections();
      await expect(watch(100)).rejects.toThrow("did not respond in time");
      await watch(1000);
      await Promise.all([1, 2, 3, 4].map(() => watch(1000)));
      expect(warn).toHaveBeenCalledOnce();
    });
  });

  it("lets calls end that are in progress when another is not answered", async () => {
    const services = new UnaryServices({ secret });
    services.service(Fleet, {
      watch: async () => {
        await pause(300);
        return {};
      },
      greet: () => new Promise(() => {}),
    });
    await listen((request, response) =>
      void services.handle(request, response)
    );
    const inProgress = watch(1000);
    await expect(
      clients.client(address, Fleet).greet({}, { timeoutMs: 100 }),
    ).rejects.toThrow("did not respond in time");
    await inProgress;
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
