import { beforeEach, describe, expect, it } from "vitest";
import type { CallerResponse } from "../callers/caller_response.ts";
import type { Exchange, ResponseHead, ResponseStream } from "./exchange.ts";
import { firstResponseStream } from "./first_response_stream.ts";

const head = { status: 200, headers: {} } as unknown as ResponseHead;

/** Records what the caller receives. */
class RecordingResponse {
  readonly calls: string[] = [];
  hasStarted = false;
  target = "";

  begin(): void {
    this.hasStarted = true;
    this.calls.push(`begin ${this.target}`);
  }

  write(chunk: Buffer): boolean {
    this.calls.push(`write ${chunk}`);
    return false;
  }

  end(): void {
    this.calls.push("end");
  }

  fail(): void {
    this.calls.push("fail");
  }
}

describe("the streams of two exchanges of one request", () => {
  let response: RecordingResponse;
  let abandoned: string[];
  let first: ResponseStream;
  let second: ResponseStream;

  beforeEach(() => {
    response = new RecordingResponse();
    abandoned = [];
    const exchanges = ["first", "second"].map((name) =>
      ({ abandon: () => abandoned.push(name) }) as unknown as Exchange
    );
    [first, second] = ["first", "second"].map((target, at) =>
      firstResponseStream(response as unknown as CallerResponse, {
        exchanges: new Set(exchanges),
        self: () => exchanges[at]!,
        target,
      })
    ) as [ResponseStream, ResponseStream];
  });

  it("send the response that begins first, and abandon the other", () => {
    second.begin(head, []);
    expect(second.write(Buffer.from("a"))).toBe(false);
    second.end();
    expect(abandoned).toEqual(["first"]);
    expect(response.calls).toEqual(["begin second", "write a", "end"]);
  });

  // Guards against a second response that breaks off the one on its way.
  it("abandon a response that begins later", () => {
    first.begin(head, []);
    abandoned.length = 0;
    second.begin(head, []);
    expect(second.write(Buffer.from("b"))).toBe(true);
    second.fail();
    second.end();
    first.end();
    expect(abandoned).toEqual(["second"]);
    expect(response.calls).toEqual(["begin first", "end"]);
  });
});
