import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  ForwardingFixture,
  RawServer,
  responseText,
  seededRandom,
} from "./forwarding_fixture.ts";
import type { Received } from "./forwarding_fixture.ts";

const requestCount = 300;
const concurrentCount = 6;
const deadlineMilliseconds = 400;

describe("requests that may run only once, at faulty targets", () => {
  const targets: RawServer[] = [];
  /** Runs of each request, by its ID. */
  const runs = new Map<string, number>();
  let gateway: ForwardingFixture;

  beforeEach(async () => {
    for (let count = 0; count < 2; count += 1) {
      const target = new RawServer();
      await target.start();
      targets.push(target);
    }
    runs.clear();
    gateway = new ForwardingFixture(targets);
  });

  afterEach(() => {
    gateway.connections.close();
    for (const target of targets.splice(0)) target.stop();
  });

  function run(id: string, status: number): string {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    return responseText(status, `request: ${id}\r\n`, id);
  }

  async function respond(
    socket: Socket,
    id: string,
    random: () => number,
  ): Promise<void> {
    const refusal = responseText(503, `request: ${id}\r\nnot-run: 1\r\n`, "");
    const chance = random();
    if (chance < 0.3) return void socket.write(run(id, 200));
    if (chance < 0.5) return void socket.write(refusal);
    if (chance < 0.6) return void socket.write(refusal + refusal);
    if (chance < 0.7) return void socket.write(run(id, 503));
    if (chance < 0.75) {
      run(id, 200);
      return void socket.resetAndDestroy();
    }
    if (chance < 0.8) return void socket.end(run(id, 200).slice(0, -2));
    const own = chance < 0.9 ? run(id, 200) : refusal;
    socket.write(own);
    await pause(random() * 10);
    socket.write(own);
  }

  // Guards against work that runs twice, or that is refused as not run, after
  // lost, false and repeated responses.
  it.each([1, 2, 3])(
    "run once, or not at all if refused (seed %i)",
    async (seed) => {
      const random = seededRandom(seed);
      for (const target of targets) {
        target.respond = (socket, text) => {
          const id = (text.split(" ")[1] ?? "").slice(1);
          void respond(socket, id, random);
        };
      }
      const received = new Map<string, Received>();
      let nextId = 1;
      const caller = async () => {
        while (nextId <= requestCount) {
          const id = `r${nextId++}`;
          if (random() < 0.02) setTimeout(() => gateway.cutOff(), random() * 5);
          received.set(
            id,
            await gateway.forward({
              requestId: id,
              path: `/${id}`,
              deadlineMilliseconds,
            }),
          );
        }
      };
      await Promise.all(Array.from({ length: concurrentCount }, caller));
      const violations = [...received].filter(([id, { status, body }]) => {
        const runCount = runs.get(id) ?? 0;
        return runCount > 1 || (status === 503 && runCount > 0) ||
          (status === 200 && body !== id);
      });
      expect(violations).toEqual([]);
      expect(runs.size).toBeGreaterThan(requestCount / 4);
    },
  );
});
