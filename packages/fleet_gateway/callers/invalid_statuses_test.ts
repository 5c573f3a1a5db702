import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { responseText } from "../requests/forwarding_fixture.ts";
import { ResponsePath } from "../exchanges/response_path_fixture.ts";

/** Status codes that no final response may have. */
const invalidStatuses = [
  "000",
  "0",
  "00",
  "0000",
  "99",
  "099",
  "199",
  "600",
  "999",
  "1000",
  "20",
  "2x0",
  "-01",
];

const largeBytes = 600_000;

for (const isRelayed of [false, true]) {
  const hops = isRelayed ? "two gateways" : "one gateway";
  // Guards against an answer in trouble whose status is none, such as 000, that
  // reaches a caller as an answer.
  describe(`a response with an invalid status, through ${hops}`, () => {
    let path: ResponsePath;
    let nextName: number;

    beforeEach(async () => {
      path = new ResponsePath({ isRelayed });
      await path.start();
      nextName = 1;
    });

    afterEach(() => path.stop());

    /** Sends a request to which the target responds with the given text. */
    async function respond(text: (lines: string) => string) {
      const name = `r${nextName++}`;
      path.target.respond = (socket) =>
        socket.write(text(`request: ${name}\r\nsignature: s\r\n`));
      return await path.ask({ name, deadlineMilliseconds: 1000 });
    }

    async function expectUnknown(text: (lines: string) => string) {
      const { status, head } = await respond(text);
      expect([status, head.includes("signature")]).toEqual([502, false]);
    }

    function invalid(status: string, lines: string, body = "odd"): string {
      return responseText(status as never, lines, body);
    }

    it.each(invalidStatuses)("%s is no answer", async (status) => {
      await expectUnknown((lines) => invalid(status, lines));
    });

    it.each(invalidStatuses)(
      "%s is none after an interim response",
      async (status) => {
        await expectUnknown((lines) =>
          `HTTP/1.1 102 Processing\r\n\r\n${invalid(status, lines)}`
        );
      },
    );

    it.each(invalidStatuses)(
      "%s is none on a connection that was used before",
      async (status) => {
        const first = await respond((lines) => responseText(200, lines, "ok"));
        expect(first.status).toBe(200);
        await expectUnknown((lines) => invalid(status, lines));
      },
    );

    it.each(invalidStatuses)("%s is none with a large body", async (status) => {
      const body = "b".repeat(largeBytes);
      await expectUnknown((lines) => invalid(status, lines, body));
    });

    it.each(invalidStatuses)(
      "%s is no second answer to a request",
      async (status) => {
        const first = await respond((lines) =>
          responseText(200, lines, "ok") + invalid(status, lines)
        );
        expect([200, 502]).toContain(first.status);
        const second = await respond((lines) => responseText(200, lines, "ok"));
        expect([second.status, second.body]).toEqual([200, "ok"]);
      },
    );
  });
}
