import { Pool } from "undici";
import { describe, expect, it, vi } from "vitest";
import { PeerPool, PeerPoolError } from "./peer_pool.ts";

describe("PeerPool", () => {
  // Failure: a call after the end of a VM opened connections if its pool had just
  // been replaced.
  it("opens no connections after it was destroyed", () => {
    const create = vi.fn(() => new Pool("http://127.0.0.1:9"));
    const connections = new PeerPool({ create });
    void connections.current;
    connections.renew();
    connections.destroy();
    expect(() => connections.current).toThrow(PeerPoolError);
    expect(create).toHaveBeenCalledOnce();
  });

  it("keeps a pool that replaced a silent one", () => {
    const connections = new PeerPool({
      create: () => new Pool("http://127.0.0.1:9"),
    });
    const silent = connections.current;
    connections.recordSilence(silent);
    const next = connections.current;
    expect(next).not.toBe(silent);
    connections.recordSilence(silent);
    expect(connections.current).toBe(next);
    connections.destroy();
  });
});
