import { describe, expect, it } from "vitest";
import { PeerClocks } from "./peer_clocks.ts";

const peer = "10.0.0.1:7390";

function createSample(
  milliseconds: number,
  local: { readonly askedAt: number; readonly receivedAt: number },
  process = "first",
) {
  return { time: { process, milliseconds }, ...local };
}

describe("the clocks of peers", () => {
  it("never run ahead of the peer's clock", () => {
    const clocks = new PeerClocks();
    expect(clocks.earliest(peer, 0)).toBeNull();
    clocks.record(peer, createSample(500, { askedAt: 90, receivedAt: 100 }));
    expect(clocks.earliest(peer, 130)).toEqual({
      process: "first",
      milliseconds: 530,
    });
  });

  it("follow the most precise of the recent samples", () => {
    const clocks = new PeerClocks();
    clocks.record(peer, createSample(500, { askedAt: 98, receivedAt: 100 }));
    clocks.record(peer, createSample(900, { askedAt: 500, receivedAt: 900 }));
    expect(clocks.earliest(peer, 1000)?.milliseconds).toBe(1400);
    clocks.record(
      peer,
      createSample(12_000, { askedAt: 11_000, receivedAt: 11_400 }),
    );
    expect(clocks.earliest(peer, 12_000)?.milliseconds).toBe(12_600);
  });

  it("start anew with another process at the address", () => {
    const clocks = new PeerClocks();
    clocks.record(peer, createSample(500, { askedAt: 98, receivedAt: 100 }));
    clocks.record(
      peer,
      createSample(7, { askedAt: 200, receivedAt: 300 }, "second"),
    );
    expect(clocks.earliest(peer, 300)).toEqual({
      process: "second",
      milliseconds: 7,
    });
  });
});
