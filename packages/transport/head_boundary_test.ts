import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { HeadBoundary } from "./head_boundary.ts";

/** Returns the parts in which the chunks are passed on. */
function split(chunks: readonly string[]): string[] {
  const boundary = new HeadBoundary();
  return chunks.flatMap((chunk) => {
    const parts: string[] = [];
    let rest = Buffer.from(chunk, "latin1");
    while (rest.length > 0) {
      const length = boundary.measure(rest);
      parts.push(rest.toString("latin1", 0, length));
      rest = rest.subarray(length);
    }
    return parts;
  });
}

describe("the boundary of a head", () => {
  it.each([
    ["after each head", ["A\r\n\r\nB\r\n\r\nC"], [
      "A\r\n\r\n",
      "B\r\n\r\n",
      "C",
    ]],
    ["after bare line ends", ["A\n\nB\n\r\nC"], ["A\n\n", "B\n\r\n", "C"]],
    ["nowhere in a part of a head", ["A\r\nb: c\r\n"], ["A\r\nb: c\r\n"]],
  ])("is %s", (_where, chunks, parts) => {
    expect(split(chunks)).toEqual(parts);
  });

  // Guards against two requests in one part, of which the second would be started
  // beyond the bound, however the bytes arrive.
  it("leaves at most one end of a head in each part, at its end", () => {
    const text = fc.string({ unit: fc.constantFrom("\r", "\n", "x") });
    fc.assert(
      fc.property(fc.array(text), (chunks) => {
        const parts = split(chunks);
        expect(parts.join("")).toBe(chunks.join(""));
        // Each end of an empty line in the whole is the end of a part.
        const ends = new Set<number>();
        let at = 0;
        for (const part of parts) ends.add(at += part.length);
        const whole = chunks.join("");
        for (let end = 0; end <= whole.length; end += 1) {
          const isEnd = /\n\r?\n$/.test(whole.slice(0, end));
          if (isEnd) expect(ends).toContain(end);
        }
      }),
      { numRuns: 2000, seed: 1 },
    );
  });
});
