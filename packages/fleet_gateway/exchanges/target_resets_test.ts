import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ResponsePath } from "./response_path_fixture.ts";

// Libuv reports a reset that arrives together with the last bytes as an end.
describe("a response without a length whose target resets its connection", () => {
  let path: ResponsePath;

  beforeEach(async () => {
    path = new ResponsePath();
    await path.start();
  });

  afterEach(() => path.stop());

  // Guards against a part that is taken for the whole, as the reset is read
  // together with the bytes before it.
  it.each([1000, 50_000, 150_000])(
    "right behind its last bytes is not complete (%i bytes)",
    async (bytes) => {
      path.target.respond = (socket, text) => {
        const name = text.split(" ")[1]!.slice(1);
        socket.write(`HTTP/1.1 200 OK\r\nrequest: ${name}\r\n\r\n`);
        socket.write("p".repeat(bytes), () => socket.resetAndDestroy());
      };
      const statuses = new Set<number>();
      for (let count = 0; count < 30; count += 1) {
        statuses.add((await path.ask({ name: `r${count}` })).status);
      }
      expect([...statuses]).toEqual([502]);
    },
  );

  it("is complete when the target ends it in order", async () => {
    path.target.respond = (socket, text) => {
      const name = text.split(" ")[1]!.slice(1);
      socket.end(`HTTP/1.1 200 OK\r\nrequest: ${name}\r\n\r\nwhole`);
    };
    for (let count = 0; count < 30; count += 1) {
      const { status, body } = await path.ask({ name: `r${count}` });
      expect([status, body]).toEqual([200, "whole"]);
    }
  });
});
