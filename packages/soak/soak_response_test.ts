import { describe, expect, it } from "vitest";
import { createBody, isOwnBody } from "./soak_response.ts";

describe("the body of a soak response", () => {
  it("is whole, or a part of it if nothing marks its end", () => {
    const whole = createBody("r1");
    expect(isOwnBody("r1", whole, true)).toBe(true);
    expect(isOwnBody("r1", whole.slice(1), false)).toBe(false);
    expect(isOwnBody("r1", whole.slice(0, -1), true)).toBe(false);
    expect(isOwnBody("r1", whole.slice(0, -1), false)).toBe(true);
    expect(isOwnBody("r1", createBody("r2"), false)).toBe(false);
  });
});
