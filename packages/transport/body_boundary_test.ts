import { describe, expect, it } from "vitest";
import { BodyBoundary } from "./body_boundary.ts";

/** Returns what is taken for the body, given the bytes in parts of a length. */
function readBody(
  headers: Record<string, string>,
  text: string,
  partLength: number,
): string {
  const boundary = BodyBoundary.of(headers);
  let body = "";
  for (let at = 0; at < text.length && !boundary.hasEnded; at += partLength) {
    const part = text.slice(at, at + partLength);
    body += part.slice(0, boundary.measure(Buffer.from(part, "latin1")));
  }
  return body;
}

// Guards against bytes of a body that are taken for requests, and the reverse.
describe("the boundary of a body", () => {
  const next = "GET / HTTP/1.1\r\n\r\n0\r\n\r\n";
  const chunked = { "transfer-encoding": "chunked" };
  const cases: readonly (readonly [string, Record<string, string>, string])[] =
    [
      ["without a body", {}, ""],
      ["with a length", { "content-length": "5" }, "\r\n\r\n0"],
      ["without chunks", chunked, "0\r\n\r\n"],
      ["with chunks", chunked, "4\r\n\r\n\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n"],
      ["with extensions", chunked, "1;a=0\r\nx\r\n0;b=1\r\n\r\n"],
      ["with trailers", chunked, "1\r\nx\r\n000\r\na: b\r\nc: d\r\n\r\n"],
    ];
  it.each(cases)(
    "%s is found, however its bytes arrive",
    (_, headers, body) => {
      for (const partLength of [1, 2, 3, 7, 1000]) {
        expect(readBody(headers, body + next, partLength)).toBe(body);
      }
    },
  );
});
