import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { PartCollector } from "./part_collector.ts";

function collect(parts: readonly Buffer[]): PartCollector {
  const collector = new PartCollector();
  for (const part of parts) collector.add(part);
  return collector;
}

describe("PartCollector", () => {
  it("returns what was added, in order", () => {
    const sizes = fc.array(
      fc.oneof(fc.nat(3), fc.nat(2000), fc.integer({ min: 4000, max: 40_000 })),
      { maxLength: 60 },
    );
    fc.assert(
      fc.property(sizes, (lengths) => {
        let next = 0;
        const parts = lengths.map((length) =>
          Buffer.from(Array.from({ length }, () => next++ & 0xff))
        );
        const collector = collect(parts);
        const expected = Buffer.concat(parts);
        expect(collector.bytes).toBe(expected.length);
        expect(collector.takeJoined().equals(expected)).toBe(true);
        expect(collector.bytes).toBe(0);
        expect(collector.take()).toEqual([]);
      }),
      { seed: 67 },
    );
  });

  it("returns the next bytes while others are added", () => {
    const collector = new PartCollector();
    const received: Buffer[] = [];
    for (let count = 0; count < 2000; count += 1) {
      collector.add(Buffer.from([count & 0xff]));
      if (count % 7 === 0) received.push(collector.shift()!);
      if (count % 500 === 0) collector.add(Buffer.alloc(5000));
    }
    for (;;) {
      const part = collector.shift();
      if (!part) break;
      received.push(part);
    }
    expect(collector.bytes).toBe(0);
    const bytes = Buffer.concat(received);
    expect(bytes.length).toBe(2000 + 4 * 5000);
    expect([...bytes.subarray(-499)]).toEqual(
      Array.from({ length: 499 }, (_, at) => (1501 + at) & 0xff),
    );
  });

  it.each([
    ["a large part", 100_000],
    ["a single small part", 100],
  ])("keeps %s without a copy", (_name, length) => {
    const part = Buffer.alloc(length);
    expect(collect([part]).takeJoined()).toBe(part);
  });

  // Guards against a body in small parts that uses a multiple of its bytes.
  it.each([1, 3, 100, 4095])(
    "keeps parts of %i bytes in few buffers",
    (partBytes) => {
      const count = Math.ceil(256 * 1024 / partBytes);
      const buffers = collect(
        Array.from({ length: count }, () => Buffer.alloc(partBytes)),
      ).take();
      expect(buffers.length).toBeLessThan(32);
      const allocatedBytes = buffers.reduce(
        (sum, { buffer }) => sum + buffer.byteLength,
        0,
      );
      expect(allocatedBytes).toBeLessThan(2 * 256 * 1024);
    },
  );
});
