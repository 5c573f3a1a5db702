import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { FramingBudget } from "./framing_budget.ts";

const readBytes = 16 * 1024;
/** That of the responses of targets. */
const bytesPerMillisecond = 2048;
const runMilliseconds = 10_000;
/** Processor time of a chunk, on a machine of half the speed of a new one. */
const chunkMicroseconds = 0.25;
/** Share of a core that responses in small chunks may take. */
const maximumCores = 0.2;

describe("FramingBudget", () => {
  let clock: ManualClock;
  let budget: FramingBudget;

  beforeEach(() => {
    clock = new ManualClock();
    budget = new FramingBudget({
      bytesPerMillisecond,
      now: () => clock.now(),
    });
  });

  /** Returns the wait after a read of chunks of that size. */
  function read(chunkBytes: number): number {
    const headBytes = chunkBytes.toString(16).length + 4;
    const bodyBytes = readBytes * chunkBytes / (chunkBytes + headBytes);
    return budget.take({ framingBytes: readBytes - bodyBytes, bodyBytes });
  }

  /** Returns the reads of responses that are read as soon as they may be. */
  function play(responses: number, chunkBytes: number): number[] {
    const counts = Array<number>(responses).fill(0);
    const mayReadAt = Array<number>(responses).fill(0);
    while (clock.now() < runMilliseconds) {
      for (let at = 0; at < responses; at += 1) {
        if (mayReadAt[at]! > clock.now()) continue;
        counts[at]! += 1;
        mayReadAt[at] = clock.now() + read(chunkBytes);
      }
      clock.advance(1);
    }
    return counts;
  }

  // Guards against responses in small chunks that take the event loop.
  it.each([[1, 1], [1, 3], [40, 1], [40, 20]])(
    "bounds the work for %i responses in chunks of %i bytes",
    (responses, chunkBytes) => {
      const chunksPerRead = readBytes /
        (chunkBytes + chunkBytes.toString(16).length + 4);
      const reads = play(responses, chunkBytes).reduce((sum, n) => sum + n);
      const workMilliseconds = reads * chunksPerRead * chunkMicroseconds / 1000;
      expect(workMilliseconds / runMilliseconds).toBeLessThan(maximumCores);
    },
  );

  it("shares the budget among the responses in progress", () => {
    const counts = play(20, 1);
    const fairCount = counts.reduce((sum, n) => sum + n) / 20;
    for (const count of counts) {
      expect(count).toBeGreaterThan(0.8 * fairCount);
      expect(count).toBeLessThan(1.2 * fairCount);
    }
  });

  it.each([512, 4096, 16_384])("does not slow chunks of %i bytes", (bytes) => {
    for (let count = 0; count < 10_000; count += 1) expect(read(bytes)).toBe(0);
  });

  it("does not slow a stream of small events", () => {
    // 2 MB a second in events of 100 bytes.
    for (let count = 0; count < 10_000; count += 1) {
      expect(budget.take({ framingBytes: 12, bodyBytes: 200 })).toBe(0);
      clock.advance(0.1);
    }
  });

  it("is saved up for a short time only", () => {
    clock.advance(60_000);
    let reads = 0;
    while (read(1) === 0) reads += 1;
    expect(reads).toBeGreaterThan(0);
    expect(reads).toBeLessThan(8);
  });
});
