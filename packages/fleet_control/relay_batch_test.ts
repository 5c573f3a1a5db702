import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { ReceivedCall } from "./received_call.ts";
import { RelayBatch } from "./relay_batch.ts";

function call(path: string): ReceivedCall {
  return {
    request: { method: "PUT", path, body: new Uint8Array() },
    readAt: 0,
    delayMilliseconds: 0,
    knownIndex: null,
  };
}

describe("RelayBatch", () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it("relays 80 heartbeats per second in at most a quarter of the messages", async () => {
    let messages = 0;
    const batch = new RelayBatch({
      send: (calls) => {
        messages += 1;
        return Promise.resolve(
          calls.map(({ request }) => ({ status: 200, body: request.path })),
        );
      },
    });
    const answers: string[] = [];
    for (let at = 0; at < 80; at += 1) {
      void batch.enqueue(call(`t${at}`)).then(({ body }) => answers.push(body));
      await vi.advanceTimersByTimeAsync(12.5);
    }
    await vi.advanceTimersByTimeAsync(100);
    expect(messages).toBeLessThanOrEqual(20);
    expect(answers).toEqual(Array.from({ length: 80 }, (_, at) => `t${at}`));
  });

  it("rejects every call of a batch that failed", async () => {
    const batch = new RelayBatch({
      send: () => Promise.reject(new Error("the leader is gone")),
    });
    const results = ["a", "b"].map((path) =>
      batch.enqueue(call(path)).catch((failure: Error) => failure.message)
    );
    await vi.advanceTimersByTimeAsync(100);
    expect(await Promise.all(results)).toEqual([
      "the leader is gone",
      "the leader is gone",
    ]);
  });

  it("relays other calls immediately", async () => {
    const batch = new RelayBatch({
      send: (calls) =>
        Promise.resolve(calls.map(() => ({ status: 204, body: "" }))),
    });
    expect((await batch.sendNow(call("config"))).status).toBe(204);
  });
});
