import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { responseText } from "../requests/forwarding_fixture.ts";
import {
  ResponseEnd,
  ResponsePath,
} from "../exchanges/response_path_fixture.ts";
import type { ResponsePathOptions } from "../exchanges/response_path_fixture.ts";

const bytes = 200_000;
/** 460 bytes a millisecond of payload. */
const linkMegabitsPerSecond = 4;

describe("a gateway whose link is paced", () => {
  let path: ResponsePath;

  async function start(options: ResponsePathOptions): Promise<void> {
    path = new ResponsePath(options);
    await path.start();
    path.target.respond = (socket, text) => {
      const [, id = ""] = /^POST \/(\S+)/.exec(text) ?? [];
      const body = "x".repeat(bytes);
      socket.write(responseText(200, `request: ${id}\r\n`, body));
    };
  }

  afterEach(() => path.stop());

  it("passes a large response on at the rate of its link", async () => {
    await start({ linkMegabitsPerSecond });
    const startedAt = performance.now();
    const { end } = await path.ask({ name: "r1" });
    expect(end).toBe(ResponseEnd.complete);
    expect(performance.now() - startedAt).toBeGreaterThan(
      0.9 * bytes / path.link.outbound.rate,
    );
  });

  // Guards against a large response that delays all others by its whole length.
  it("writes it in slices of at most 16 KiB", async () => {
    await start({ linkMegabitsPerSecond: 40 });
    const received: number[] = [];
    await path.ask({ name: "r1", onData: (total) => received.push(total) });
    expect(path.link.outbound.sliceBytes).toBeLessThanOrEqual(16 * 1024);
    expect(received.length).toBeGreaterThan(5);
  });

  it("completes several that share its link", async () => {
    await start({ linkMegabitsPerSecond });
    const all = await Promise.all(
      ["r1", "r2", "r3"].map((name) => path.ask({ name })),
    );
    expect(all.map(({ end }) => end)).toEqual(
      all.map(() => ResponseEnd.complete),
    );
  });

  // Guards against a share of the link that a response keeps after its end.
  it("has no passage left once callers have left", async () => {
    await start({ linkMegabitsPerSecond: 1 });
    const all = ["r1", "r2", "r3"].map((name) =>
      path.ask({ name, onData: (_total, socket) => socket.destroy() })
    );
    await Promise.all(all);
    await pause(100);
    expect(path.link.admission.largeCount).toBe(0);
    expect(path.link.outbound.waitingBytes).toBe(0);
    expect(path.link.inbound.waitingBytes).toBe(0);
    expect(path.link.held.total).toBe(0);
  });

  it("ends a response at its deadline although it is held", async () => {
    await start({ linkMegabitsPerSecond: 0.2 });
    const startedAt = performance.now();
    const { status } = await path.ask({
      name: "r1",
      deadlineMilliseconds: 500,
    });
    expect(status).toBe(504);
    expect(performance.now() - startedAt).toBeLessThan(1000);
  });

  // Guards against a gateway whose memory slow callers use up together.
  it("lets a response go that holds memory while others need it", async () => {
    await start({ linkMegabitsPerSecond, maximumHeldBytes: 1.5 * bytes });
    const { held } = path.link;
    const other = held.open(() => {}, path.gateway.clock.now());
    const { end } = await path.ask({
      name: "r1",
      onData: (total) => {
        if (total > bytes / 4) other.add(bytes, path.gateway.clock.now());
      },
    });
    expect(end).toBe(ResponseEnd.incomplete);
    other.end();
    expect((await path.ask({ name: "r2" })).end).toBe(ResponseEnd.complete);
    expect(held.total).toBe(0);
  });
});
