import type { RequestListener } from "node:http";
import { connect } from "node:net";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterEach, describe, expect, it } from "vitest";
import { HttpListener } from "./http_listener.ts";

const checkIntervalMilliseconds = 50;
const port = 7392;
const head = "POST / HTTP/1.1\r\nhost: a\r\n";

describe("a request that cannot be read", () => {
  const host = `${loopbackPrefix()}.1`;
  let listener: HttpListener;

  afterEach(() => listener.destroy());

  /** Returns everything that a caller receives until its connection closes. */
  async function exchange(
    text: string,
    handler: RequestListener,
  ): Promise<string> {
    listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      handler,
      headersTimeoutMilliseconds: checkIntervalMilliseconds,
      checkIntervalMilliseconds,
    });
    return await new Promise((resolve) => {
      let received = "";
      const socket = connect(port, host);
      socket.on("data", (bytes) => (received += bytes.toString()));
      socket.on("error", () => {});
      socket.once("close", () => resolve(received));
      socket.write(text);
    });
  }

  const neverRespond: RequestListener = (request) => void request.resume();
  const unreadable: readonly (readonly [string, string, string])[] = [
    ["is late", "GET / HTTP/1.1\r\nhost:", "408"],
    ["is malformed", "no request\r\n\r\n", "400"],
    [
      "has too long a header",
      `GET / HTTP/1.1\r\nhost: ${"a".repeat(20_000)}\r\n\r\n`,
      "431",
    ],
  ];

  for (const [what, text, status] of unreadable) {
    it(`is refused with ${status} if it ${what}`, async () => {
      expect(await exchange(text, neverRespond)).toMatch(
        new RegExp(`^HTTP/1.1 ${status} `),
      );
    });

    // Guards against a refusal that a caller takes for the response to its
    // request before, which may have run.
    it(`gives the request before it no response if it ${what}`, async () => {
      const first = `${head}content-length: 1\r\n\r\nx`;
      expect(await exchange(first + text, neverRespond)).toBe("");
    });
  }

  // Guards against a refusal of a request whose body has been forwarded in part.
  it("gets no response if its body is malformed on the way", async () => {
    const start = `${head}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n`;
    expect(await exchange(`${start}malformed`, neverRespond)).toBe("");
  });
});
