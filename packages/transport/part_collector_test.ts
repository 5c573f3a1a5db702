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
