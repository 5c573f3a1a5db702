import { describe, expect, it } from "vitest";
import { CopyDetector } from "./copy_detector.ts";

const head = "HTTP/1.1 200 OK\r\nlength: 5\r\nRequest:  a1 \r\n\r\n";

function detector(): CopyDetector {
  return new CopyDetector((name, value) =>
    name === "request" && value === "a1"
  );
}

function finds(...parts: readonly string[]): boolean {
  const detected = detector();
  return parts.some((part) => detected.add(Buffer.from(part, "latin1")));
}

describe("CopyDetector", () => {
  // Guards against a copy that is missed because it is read in parts.
  it("finds a head at every division into two parts, and in single bytes", () => {
    const body = `own;HTTP/1.${head}own;`;
    for (let at = 0; at <= body.length; at += 1) {
      expect([at, finds(body.slice(0, at), body.slice(at))]).toEqual([
        at,
        true,
      ]);
    }
    expect(finds(...body)).toBe(true);
  });

  // Guards against a copy that is missed because of the bytes before it.
  it.each([
    "HTTP/1.1 200 OK\r\nname: val",
    "HTTP/1.1 200 OK\r\nna",
    "HTTP/1.1",
    "HTTP/1.1 ".repeat(300),
    `HTTP/1.1 200 ${"x".repeat(2000)}`,
    `HTTP/1.1 200 OK\r\nname: ${"x".repeat(2000)}`,
    "HTTP/1.1 200 OK\r\nname: x\r\n\r\n",
    "\xff\x00\n",
  ])("finds a head behind %j", (before) => {
    expect(finds(before + head)).toBe(true);
  });

  // Guards against sound bodies that are taken for copies.
  it.each([
    head.replace("a1", "a2"),
    head.replace("\r\nRequest", "\r\n\r\nRequest"),
    head.replace("HTTP/1.1 200", "HTTP/1.1"),
    head.replace("HTTP/1.1 200 OK", "GET / HTTP/1.1"),
    "Request: a1\r\n",
    "",
  ])("does not take %j for one", (body) => {
    expect(finds(body)).toBe(false);
  });

  // Guards against bodies that take more than linear time.
  it.each([
    "HTTP/1.",
    "HTTP/1.1 200 \r\n",
    "HTTP/1.1 200 \r\na:b\r\n",
    "a:HTTP/1.1 200 \r\n",
  ])(
    "examines each byte of a body of %j a bounded number of times",
    (unit) => {
      let examined = 0;
      const detected = new CopyDetector(() => {
        examined += 1;
        return false;
      });
      const count = 20_000;
      const body = Buffer.from(`HTTP/1.1 200 \r\n${unit.repeat(count)}`);
      expect(detected.add(body)).toBe(false);
      expect(examined).toBeLessThanOrEqual(count);
    },
  );
});
