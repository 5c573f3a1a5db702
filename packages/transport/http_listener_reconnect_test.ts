import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterEach, describe, expect, it } from "vitest";
import { heldMilliseconds } from "./held_requests.ts";
import { HttpListener } from "./http_listener.ts";
import type { HttpListenerOptions } from "./http_listener.ts";

const host = `${loopbackPrefix()}.1`;
const port = 7393;
const callerCount = 12;
const maximumThinkMilliseconds = 25;

/** Sends a request on a new connection; returns the body or how it failed. */
function sendRequest(): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, host);
    let received = "";
    let failure: string | undefined;
    socket.on("data", (chunk) => (received += chunk));
    socket.on(
      "error",
      (cause: NodeJS.ErrnoException) => (failure = cause.code ?? cause.message),
    );
    socket.once("close", () =>
      resolve(
        received.endsWith("whole") ? "answered" : failure ?? "no response",
      ));
    socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  });
}

/**
 * Work that each turn of the event loop does after it has looked for connections,
 * and before a listener that was closed later continues.
 */
class TurnWork {
  readonly #milliseconds: number;
  #waiting: { readonly dueAt: number; readonly resolve: () => void }[] = [];
  #isRunning = true;

  constructor(milliseconds: number) {
    this.#milliseconds = milliseconds;
    setImmediate(() => this.#run());
  }

  /** Waits, and then until the next turn has looked for connections. */
  pause(milliseconds: number): Promise<void> {
    const dueAt = performance.now() + milliseconds;
    return new Promise((resolve) => this.#waiting.push({ dueAt, resolve }));
  }

  stop(): void {
    this.#isRunning = false;
  }

  #run(): void {
    const until = performance.now() + this.#milliseconds;
    while (performance.now() < until);
    const now = performance.now();
    const due = this.#waiting.filter(({ dueAt }) => dueAt <= now);
    this.#waiting = this.#waiting.filter(({ dueAt }) => dueAt > now);
    for (const { resolve } of due) resolve();
    if (this.#isRunning) setImmediate(() => this.#run());
  }
}

/**
 * Sends requests on new connections, each some milliseconds after the response to
 * the one before, until one is not answered; returns how that one ended.
 */
async function sendUntilRefused(
  index: number,
  turns: TurnWork,
): Promise<string> {
  for (let count = index;; count += 1) {
    const end = await sendRequest();
    if (end !== "answered") return end;
    await turns.pause(1 + (count * 7) % maximumThinkMilliseconds);
  }
}

describe("closing a listener whose callers reconnect", () => {
  let listener: HttpListener | undefined;

  afterEach(() => {
    listener?.destroy();
    listener = undefined;
  });

  async function open(
    handler: HttpListenerOptions["handler"] = (_request, response) => {
      response.end("whole");
    },
  ): Promise<HttpListener> {
    listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      handler,
    });
    return listener;
  }

  /** Closes a listener some times; returns how the callers' requests ended. */
  async function closeUnderLoad(
    { runCount, turnMilliseconds }: {
      readonly runCount: number;
      readonly turnMilliseconds: number;
    },
  ): Promise<readonly string[]> {
    const ends: string[] = [];
    const turns = new TurnWork(turnMilliseconds);
    for (let run = 0; run < runCount; run += 1) {
      const closing = await open();
      closing.refuseReuse();
      const callers = Array.from(
        { length: callerCount },
        (_, index) => sendUntilRefused(index, turns),
      );
      await pause(100);
      const startedAt = performance.now();
      const { unanswered } = await closing.close();
      expect(performance.now() - startedAt).toBeLessThan(2000);
      expect(unanswered).toBe(0);
      ends.push(...await Promise.all(callers));
    }
    turns.stop();
    return ends;
  }

  function refusals(runCount: number): readonly string[] {
    return Array(callerCount * runCount).fill("ECONNREFUSED");
  }

  // Guards against resets of callers that reconnect some ms after a response.
  it("answers or refuses each of them", async () => {
    const load = { runCount: 20, turnMilliseconds: 0 };
    expect(await closeUnderLoad(load)).toEqual(refusals(load.runCount));
  });

  // Guards against resets of connections completed in a long turn before a close.
  it("answers or refuses each of them while the machine is busy", async () => {
    const load = { runCount: 8, turnMilliseconds: 2 };
    expect(await closeUnderLoad(load)).toEqual(refusals(load.runCount));
  });

  // Guards against closes whose last look at the queue was long before. Turns of a
  // quiet event loop are far shorter, those of a loaded machine may not be.
  it("tells how long it did not look at its queue", async () => {
    const times: number[] = [];
    for (let run = 0; run < 5; run += 1) {
      const closing = await open();
      times.push((await closing.close()).uncheckedMilliseconds);
    }
    expect(Math.min(...times)).toBeGreaterThan(0);
    expect(Math.min(...times)).toBeLessThan(5);
  });

  // Guards against deadlines that start anew when a listener has closed.
  it("tells how long a request waited", async () => {
    const heldTimes: number[] = [];
    const closing = await open((request, response) => {
      heldTimes.push(heldMilliseconds(request));
      response.end("whole");
    });
    closing.refuseReuse();
    expect(await sendRequest()).toBe("answered");
    const closed = closing.close();
    const end = sendRequest();
    await closed;
    expect(await end).toBe("answered");
    expect(heldTimes[0]).toBe(0);
    expect(heldTimes[1]).toBeGreaterThan(0);
    expect(heldTimes[1]).toBeLessThan(2000);
  });
});
