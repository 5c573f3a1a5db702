import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { measureMemory } from "@kingcupglade/fakes";
import { describe, expect, it } from "vitest";
import { RequestBody } from "./body.ts";
import { nextTurn } from "./caller_connection.ts";
import { ReadAhead } from "./read_ahead.ts";

const bodyBytes = 300_000;

/** A request whose body arrives byte by byte, each in a read of its own. */
class TricklingRequest extends PassThrough {
  readonly headers: Readonly<Record<string, string>>;

  constructor(headers: Readonly<Record<string, string>> = {}) {
    super();
    this.headers = headers;
  }

  async send(bytes: number): Promise<void> {
    for (let sent = 0; sent < bytes; sent += 1) {
      this.write(Buffer.from([sent & 0xff]));
      await nextTurn();
    }
  }
}

function isWhole(body: Buffer): boolean {
  return body.equals(
    Buffer.from(Array.from({ length: bodyBytes }, (_, at) => at & 0xff)),
  );
}

// Guards against callers who use up the memory of a VM with bodies in small parts,
// each of which is an object.
describe("a body that arrives in parts of one byte", () => {
  it.each([
    ["without a length", { "transfer-encoding": "chunked" }],
    ["with a length", { "content-length": String(2 * bodyBytes) }],
  ])(
    "takes memory by its bytes while it is buffered, %s",
    async (_, headers) => {
      const request = new TricklingRequest(headers);
      const receiving = RequestBody.receive(
        request as unknown as IncomingMessage,
        { maximumBytes: 10 * bodyBytes, maximumBufferedBytes: 2 * bodyBytes },
      );
      await request.send(1000);
      const before = measureMemory();
      await request.send(bodyBytes);
      expect(measureMemory() - before).toBeLessThan(4 * bodyBytes);
      request.end();
      await receiving;
    },
  );

  it("takes memory by its bytes while it is read ahead", async () => {
    const request = new TricklingRequest();
    const body = new ReadAhead(request)[Symbol.asyncIterator]();
    const first = body.next();
    await request.send(1);
    expect((await first).value).toEqual(Buffer.from([0]));
    const before = measureMemory();
    await request.send(bodyBytes);
    expect(measureMemory() - before).toBeLessThan(4 * bodyBytes);
    request.end();
    const parts: Buffer[] = [];
    for (;;) {
      const { value, done } = await body.next();
      if (done) break;
      parts.push(value);
    }
    expect(isWhole(Buffer.concat(parts))).toBe(true);
  });
});
