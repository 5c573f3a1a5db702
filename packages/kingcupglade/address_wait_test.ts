import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";
import type { LogFields } from "@kingcupglade/telemetry";
import { afterEach, describe, expect, it } from "vitest";
import { waitForAddresses } from "./address_wait.ts";

// Concurrent runs of this test must not share addresses.
const host = `127.${randomInt(100, 250)}.${randomInt(1, 250)}.1`;
const addresses = [`${host}:8100`, `${host}:8200`];

describe("waitForAddresses", () => {
  const holder = createServer((socket) => socket.destroy());
  const events: string[] = [];

  afterEach(() => {
    holder.close();
    events.length = 0;
  });

  function wait(maximumMilliseconds: number, stopping = new AbortController()) {
    const log = (event: string, _fields?: LogFields) => void events.push(event);
    return waitForAddresses({
      addresses,
      maximumMilliseconds,
      stopping: stopping.signal,
      logger: { debug: log, info: log, warn: log, error: log },
    });
  }

  async function holdAddress(): Promise<void> {
    await once(holder.listen(8200, host), "listening");
  }

  it("resolves at once if all addresses are free", async () => {
    await wait(100_000);
    expect(events).toEqual([]);
  });

  it("waits until an address is free", async () => {
    await holdAddress();
    const waiting = wait(100_000);
    setTimeout(() => holder.close(), 150);
    await waiting;
    expect(events).toEqual(["address-in-use", "addresses-free"]);
  });

  it("resolves after the maximum time", async () => {
    await holdAddress();
    await wait(150);
    expect(events).toEqual(["address-in-use"]);
  });

  it("resolves soon after the stop", async () => {
    await holdAddress();
    const stopping = new AbortController();
    const waiting = wait(100_000, stopping);
    stopping.abort();
    await waiting;
    expect(events).toEqual(["address-in-use"]);
  });
});
