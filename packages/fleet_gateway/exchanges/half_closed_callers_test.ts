import { afterEach, describe, expect, it } from "vitest";
import { ResponseEnd, ResponsePath } from "./response_path_fixture.ts";

const bodyBytes = 3_000_000;

describe("a caller that closes its side and reads on", () => {
  let path: ResponsePath;

  afterEach(() => path.stop());

  // Guards against a part of a streamed response without a length that ends in
  // order because the gateway gives it up.
  it.each([undefined, 4])(
    "does not take a part for the whole (link: %s Mbit/s)",
    async (linkMegabitsPerSecond) => {
      path = new ResponsePath({
        responseMemoryBytes: 0,
        ...(linkMegabitsPerSecond && { linkMegabitsPerSecond }),
      });
      await path.start();
      path.target.respond = (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nrequest: only\r\n\r\n");
        socket.write("x".repeat(bodyBytes / 2));
        setTimeout(() => socket.end("x".repeat(bodyBytes / 2)), 300);
      };
      const received = await path.ask({
        name: "only",
        onData: (bytes, socket) => {
          if (bytes > 10_000 && socket.writable) socket.end();
        },
      });
      const looksWhole = received.end !== ResponseEnd.incomplete;
      expect(looksWhole && received.body.length < bodyBytes).toBe(false);
    },
  );
});
