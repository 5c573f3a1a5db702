import { beforeEach, describe, expect, it } from "vitest";
import { KeyHistory } from "./key_history.ts";

describe("KeyHistory", () => {
  let history: KeyHistory;

  beforeEach(() => {
    history = new KeyHistory();
  });

  function change(
    keys: readonly string[],
    sentAt: number,
    acknowledgedAt?: number,
  ): void {
    history.recordChange({
      workspace: "w",
      keys,
      sentAt,
      ...(acknowledgedAt !== undefined && { acknowledgedAt }),
    });
  }

  it("takes a key for added with the first acknowledged change that has it", () => {
    change(["a"], 10);
    expect(history.addedAt("a")).toBe(Infinity);
    change(["a", "b"], 20, 25);
    change(["a", "b"], 30, 35);
    expect(history.addedAt("a")).toBe(25);
  });

  // A change without an acknowledgement may come into force at any time.
  it("takes a key for valid until a change without it is sent, and for revoked from its acknowledgement on", () => {
    change(["a", "b"], 10, 15);
    expect(history.removalSentAt("a")).toBe(Infinity);
    change(["b"], 20);
    expect(history.removalSentAt("a")).toBe(20);
    expect(history.revokedAt("a")).toBe(Infinity);
    change(["b", "c"], 30, 35);
    expect(history.revokedAt("a")).toBe(35);
    expect(history.revokedAt("b")).toBe(Infinity);
  });

  it("knows the holder of a removed key, and of no other", () => {
    change(["a"], 10, 15);
    change(["b"], 20, 25);
    expect(history.holderOf("a")).toBe("w");
    expect(history.holderOf("other")).toBeUndefined();
    expect(history.keysOf("w")).toEqual(["b"]);
    expect(history.removedKeysOf("w")).toEqual(["a"]);
    expect(history.revokedAt("other")).toBe(Infinity);
  });
});
