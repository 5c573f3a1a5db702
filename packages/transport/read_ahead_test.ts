import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BodyMemory } from "./body_memory.ts";
import { ReadAhead } from "./read_ahead.ts";

const chunkBytes = 64 * 1024;
const intervalMilliseconds = 150;

describe("ReadAhead", () => {
  let takenCount: number;
  let hasFailed: boolean;

  beforeEach(() => {
    vi.useFakeTimers();
    takenCount = 0;
    hasFailed = false;
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** A body that ends, or whose connection is reset, after some chunks. */
  async function* send(count: number): AsyncGenerator<Buffer> {
    for (let index = 0; index < count; index += 1) {
      takenCount += 1;
      yield Buffer.alloc(chunkBytes, index);
    }
    if (hasFailed) throw new Error("aborted");
  }

  function read(source: AsyncIterable<Buffer>, memory = new BodyMemory()) {
    return new ReadAhead(source, memory.reserve())[Symbol.asyncIterator]();
  }

  it("passes on what it has read, in order, and then the failure", async () => {
    hasFailed = true;
    const body = read(send(5));
    expect((await body.next()).value[0]).toBe(0);
    await vi.advanceTimersByTimeAsync(2 * intervalMilliseconds);
    for (const expected of [1, 2, 3, 4]) {
      expect((await body.next()).value[0]).toBe(expected);
    }
    await expect(body.next()).rejects.toThrow("aborted");
  });

  // Guards against an end of a connection that nobody reads.
  it("reads on while nobody reads, up to its bound", async () => {
    const body = read(send(1000));
    await body.next();
    await vi.advanceTimersByTimeAsync(intervalMilliseconds - 1);
    expect(takenCount).toBe(1);
    await vi.advanceTimersByTimeAsync(2 * intervalMilliseconds);
    expect(takenCount).toBe(1 + 8 * 1024 * 1024 / chunkBytes);
    await body.return(undefined);
  });

  it("reads no further ahead than the memory of all bodies allows", async () => {
    const memory = new BodyMemory(4 * chunkBytes);
    const body = read(send(1000), memory);
    await body.next();
    await vi.advanceTimersByTimeAsync(100 * intervalMilliseconds);
    expect(memory.usedBytes).toBeLessThanOrEqual(4 * chunkBytes);
    expect(takenCount).toBeLessThan(8);
    for (let count = 0; count < 20; count += 1) await body.next();
    expect(memory.usedBytes).toBe(0);
    await body.return(undefined);
  });

  it("stops once its reader has stopped", async () => {
    const body = read(send(1000));
    await body.next();
    await body.return(undefined);
    await vi.advanceTimersByTimeAsync(10 * intervalMilliseconds);
    expect(takenCount).toBe(1);
    expect(vi.getTimerCount()).toBe(0);
  });

  it("leaves the pace to a reader that reads", async () => {
    vi.useRealTimers();
    const received: Buffer[] = [];
    for await (const chunk of new ReadAhead(send(20))) {
      received.push(chunk);
      await pause(1);
      expect(takenCount - received.length).toBeLessThanOrEqual(1);
    }
    expect(received).toHaveLength(20);
  });
});
