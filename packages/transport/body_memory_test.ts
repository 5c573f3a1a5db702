import { describe, expect, it } from "vitest";
import { BodyMemory, BodyMemoryError } from "./body_memory.ts";

const megabyte = 1024 * 1024;
const smallBytes = 16 * 1024;

describe("BodyMemory", () => {
  it("refuses a body that does not fit, and only that one", () => {
    const memory = new BodyMemory(megabyte);
    const first = memory.reserve();
    first.add(smallBytes + megabyte);
    expect(() => memory.reserve().add(smallBytes + 1)).toThrow(BodyMemoryError);
    expect(() => memory.reserve().add(smallBytes)).not.toThrow();
    expect(memory.usedBytes).toBe(megabyte);
  });

  it("counts the parts of a body together", () => {
    const memory = new BodyMemory(megabyte);
    const body = memory.reserve();
    for (let count = 0; count < 10; count += 1) body.add(10_000);
    expect(memory.usedBytes).toBe(100_000 - smallBytes);
  });

  it("has room again once a body is released, whatever still arrives of it", () => {
    const memory = new BodyMemory(megabyte);
    const body = memory.reserve();
    body.add(megabyte);
    body.release();
    body.release();
    body.add(megabyte);
    expect(memory.usedBytes).toBe(0);
  });
});
