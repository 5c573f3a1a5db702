import { measureMemory } from "@kingcupglade/fakes";
import type { Dispatcher } from "undici";
import { describe, expect, it } from "vitest";
import { Exchange } from "./exchange.ts";
import type { ResponseStream } from "./exchange.ts";
import { ReadHold } from "./read_hold.ts";
import { SurplusDetector } from "./surplus_detector.ts";

/** What every response may buffer. */
const bufferedBytes = 256 * 1024;
const readBytes = 16 * 1024;

const stream: ResponseStream = {
  wouldLookWhole: () => false,
  begin: () => {},
  write: () => true,
  onDrain: () => {},
  end: () => {},
  fail: () => {},
};

/** Starts an exchange whose response has a head, and returns its parser's side. */
function startResponse(): {
  readonly exchange: Exchange;
  readonly handler: Dispatcher.DispatchHandler;
} {
  let handler: Dispatcher.DispatchHandler | undefined;
  const surplus = new SurplusDetector(() => {});
  surplus.begin();
  const exchange = new Exchange({
    connection: {
      wasUsed: false,
      wasReset: false,
      allowance: { renew() {} },
      surplus,
      recordSurplus() {},
      requestIds: new Set<string>(),
      reads: new ReadHold(),
      client: {
        dispatch: (_options: unknown, added: Dispatcher.DispatchHandler) =>
          handler = added,
        destroy() {},
      },
    } as never,
    wire: {
      readResponse: () => ({ requestId: "r1", didNotRun: false }),
    } as never,
    stream,
    request: {
      method: "GET",
      path: "/",
      headers: [],
      body: null,
      requestId: "r1",
      timeoutMilliseconds: 60_000,
    },
  });
  handler!.onRequestStart!(controller, {});
  handler!.onResponseStart!(controller, 200, {
    "transfer-encoding": "chunked",
  });
  return { exchange, handler: handler! };
}

const controller = { abort() {} } as unknown as Dispatcher.DispatchController;

/** Hands a body to the parser's side, as it does for chunks of that size. */
function sendParts(
  handler: Dispatcher.DispatchHandler,
  { bytes, partBytes }: { readonly bytes: number; readonly partBytes: number },
): void {
  for (let sent = 0; sent < bytes; sent += readBytes) {
    const read = Buffer.alloc(readBytes, "x");
    for (let at = 0; at < readBytes; at += partBytes) {
      const part = read.subarray(at, at + partBytes);
      handler.onResponseData!(controller, part);
    }
  }
}

describe("a response in small parts", () => {
  // Guards against a gateway that runs out of memory, as it keeps an object for
  // each byte that it buffers.
  it.each([1, 3, 20])(
    "of %i bytes takes memory by its bytes while it is buffered",
    async (partBytes) => {
      // Measured once the code is compiled.
      sendParts(startResponse().handler, { bytes: readBytes, partBytes });
      const before = measureMemory();
      const { exchange, handler } = startResponse();
      sendParts(handler, { bytes: bufferedBytes, partBytes });
      expect(measureMemory() - before).toBeLessThan(4 * bufferedBytes);
      handler.onResponseEnd!(controller, {});
      const result = await exchange.result;
      expect(
        result.kind === "answered" &&
          result.body?.equals(Buffer.alloc(bufferedBytes, "x")),
      ).toBe(true);
    },
  );
});
