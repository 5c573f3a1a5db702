import { beforeEach, describe, expect, it } from "vitest";
import { Surplus, SurplusDetector } from "./surplus_detector.ts";

const body = "body";

describe("SurplusDetector", () => {
  let detector: SurplusDetector;
  let count: number;

  beforeEach(() => {
    count = 0;
    detector = new SurplusDetector(() => (count += 1));
  });

  /** Receives a response, with further bytes in the same read. */
  function receive(surplus: string): void {
    detector.begin();
    const read = Buffer.from(`head${body}${surplus}`);
    detector.recordRead(read);
    detector.end(read.subarray(4, 4 + body.length));
  }

  it("finds none after the end of a response", () => {
    receive("");
    expect([detector.found, count]).toEqual([Surplus.none, 0]);
  });

  it.each(
    [
      ["HTTP/1.1 200 OK", Surplus.response],
      ["H", Surplus.response],
      ["\r\nHTTP/1.1", Surplus.response],
      ["y of another", Surplus.body],
      ["HTML", Surplus.body],
      ["\r\n", Surplus.none],
    ] as const,
  )("tells a response from a part of a body: %j", (surplus, expected) => {
    receive(surplus);
    expect(detector.found).toBe(expected);
    expect(count).toBe(expected === Surplus.none ? 0 : 1);
  });

  it("finds bytes in reads after the end, in parts as well", () => {
    receive("");
    detector.recordRead(Buffer.from("HT"));
    expect(detector.found).toBe(Surplus.response);
    detector.recordRead(Buffer.from("ML"));
    expect([detector.found, count]).toEqual([Surplus.body, 2]);
  });

  it("forgets them when the next request begins", () => {
    receive("HTTP/");
    receive("");
    expect(detector.found).toBe(Surplus.none);
  });

  it("takes no bytes of a response in progress for surplus", () => {
    detector.begin();
    detector.recordRead(Buffer.from("any"));
    expect([detector.found, count]).toEqual([Surplus.none, 0]);
  });
});
