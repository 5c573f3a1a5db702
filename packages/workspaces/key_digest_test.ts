import { describe, expect, it } from "vitest";
import { SealError } from "./errors.ts";
import { KeyDigest } from "./key_digest.ts";
import { SourceSeal } from "./source_seal.ts";

describe("KeyDigest", () => {
  it("is the same at all VMs with one secret, and another with another", () => {
    const digest = new KeyDigest("secret").ofText("key");
    expect(digest).toMatch(/^[0-9a-f]{64}$/);
    expect(new KeyDigest("secret").of(Buffer.from("key"))).toBe(digest);
    expect(new KeyDigest("secreu").ofText("key")).not.toBe(digest);
    expect(new KeyDigest("secret").ofText("Key")).not.toBe(digest);
  });

  // Guards against keys with letters beyond ASCII that never match: an operator
  // writes them in JSON, a caller sends their bytes.
  it("is one of the bytes in UTF-8", () => {
    const digest = new KeyDigest("secret");
    expect(digest.ofText("schlüssel")).toBe(
      digest.of(Buffer.from("schlüssel", "utf8")),
    );
  });
});

describe("SourceSeal", () => {
  const source = `{"apiKeys":["key-1","schlüssel"]}`;

  it("returns the text as it was sealed, which hides it", () => {
    const sealed = new SourceSeal("secret").seal(source);
    expect(Buffer.from(sealed, "base64").includes("key-1")).toBe(false);
    expect(new SourceSeal("secret").open(sealed)).toBe(source);
  });

  it("opens nothing that was sealed with another secret or changed", () => {
    const sealed = new SourceSeal("secret").seal(source);
    expect(() => new SourceSeal("other").open(sealed)).toThrow(SealError);
    const bytes = Buffer.from(sealed, "base64");
    for (const at of [0, 3, 20, bytes.length - 1]) {
      const changed = Buffer.from(bytes);
      changed[at]! ^= 1;
      expect(() => new SourceSeal("secret").open(changed.toString("base64")))
        .toThrow(SealError);
    }
    expect(() => new SourceSeal("secret").open("")).toThrow(SealError);
  });
});
