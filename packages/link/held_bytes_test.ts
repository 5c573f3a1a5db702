import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { HeldBytes } from "./held_bytes.ts";

const maximumBytes = 1000;

describe("the bytes that exchanges hold", () => {
  // Guards against the memory of a gateway that slow callers fill together.
  it("let the exchange go that has made no progress for the longest time", () => {
    const held = new HeldBytes({ maximumBytes });
    const gone: string[] = [];
    const open = (name: string) => held.open(() => void gone.push(name), 0);
    const [first, second, third] = [
      open("first"),
      open("second"),
      open("third"),
    ];
    first!.add(400, 0);
    second!.add(400, 10);
    first!.add(-100, 20);
    third!.add(250, 30);
    expect(gone).toEqual([]);
    third!.add(100, 40);
    expect(gone).toEqual(["second"]);
    expect(held.total).toBe(650);
  });

  it("stay within their bound, and are free once all have ended", () => {
    const step = fc.record({
      holder: fc.nat(5),
      bytes: fc.integer({ min: 0, max: 600 }),
    });
    fc.assert(fc.property(fc.array(step), (steps) => {
      const held = new HeldBytes({ maximumBytes });
      const shares = Array.from({ length: 6 }, () => held.open(() => {}, 0));
      for (const [at, { holder, bytes }] of steps.entries()) {
        shares[holder]!.add(bytes, at);
        expect(held.total).toBeLessThanOrEqual(maximumBytes);
      }
      for (const share of shares) share.end();
      expect(held.total).toBe(0);
    }));
  });
});
