import { PassThrough } from "node:stream";
import { RequestKind } from "@kingcupglade/items";
import { RequestBody } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  answerFor,
  ForwardingFixture,
  RawServer,
  responseText,
} from "./forwarding_fixture.ts";
import type { Received } from "./forwarding_fixture.ts";
import { RequestForwarder } from "./request_forwarder.ts";

const bufferedBytes = 128 * 1024;
const remainingBytes = 1000;

describe("a request whose target leaves before it is sent", () => {
  const targets: RawServer[] = [];
  /** What each target received, by its number. */
  const received = ["", ""];
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    received.fill("");
    for (const at of received.keys()) {
      const target = new RawServer();
      target.respond = (socket, text) => {
        received[at] += text;
        const { length } = bodyOf(received[at]!);
        const isWhole = length === 0 ||
          length === bufferedBytes + remainingBytes;
        if (!isWhole) return;
        socket.write(responseText(200, "request: r1\r\n", "done"));
      };
      await target.start();
      targets.push(target);
    }
    fixture = new ForwardingFixture(targets, {
      onConnected: (address) => {
        if (address === targets[0]!.address) fixture.leaving.add("t0");
      },
    });
  });

  afterEach(() => {
    fixture.connections.close();
    for (const target of targets.splice(0)) target.stop();
  });

  function bodyOf(text: string): string {
    return text.slice(text.indexOf("\r\n\r\n") + 4);
  }

  // Failure: a target received a request after its departure was known to the
  // gateway, as the request had waited for a connection.
  it.each([RequestKind.once, RequestKind.idempotent])(
    "is sent to another target if it waited for a connection (%s)",
    async (requests) => {
      const response = await fixture.forward({ requestId: "r1", requests });
      expect(received[0]).toBe("");
      expect(response).toEqual({ status: 200, body: "done" });
    },
  );

  // Failure: a request with a long body was refused instead, as its body counted
  // as sent.
  it("is sent with the whole of a streamed body", async () => {
    const request = Object.assign(new PassThrough(), {
      headers: { "content-length": String(bufferedBytes + remainingBytes) },
    });
    request.write("a".repeat(bufferedBytes + 1));
    const receiving = RequestBody.receive(request as never, {
      maximumBytes: 1024 * 1024,
      maximumBufferedBytes: bufferedBytes,
    });
    setTimeout(() => request.end("b".repeat(remainingBytes - 1)), 20);
    const body = await receiving;
    const response = await new Promise<Received>((resolve) =>
      new RequestForwarder({
        context: fixture.context() as never,
        routed: { ...fixture.routed({ requestId: "r1" }), body } as never,
        answer: answerFor(resolve) as never,
        handOver: () => {},
      }).start()
    );
    expect(received[0]).toBe("");
    expect(response).toEqual({ status: 200, body: "done" });
    expect(bodyOf(received[1]!)).toBe(
      "a".repeat(bufferedBytes + 1) + "b".repeat(remainingBytes - 1),
    );
  });
});
