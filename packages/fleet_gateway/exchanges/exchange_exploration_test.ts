import { RequestKind } from "@kingcupglade/items";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { ExchangePlay } from "./exchange_play.ts";
import type { Step } from "./exchange_sides.ts";
import { seededRandom } from "../requests/forwarding_fixture.ts";

const depth = 5;
const randomSequenceCount = 4000;
const randomLength = 12;

/** Plays steps and returns what is wrong, and which steps may follow. */
async function playAll(requests: RequestKind, steps: readonly Step[]) {
  const play = new ExchangePlay(requests);
  await play.start();
  for (const step of steps) await play.play(step);
  const next = play.steps;
  return { next, faults: await play.finish() };
}

function describeSteps(steps: readonly Step[]): string {
  return steps.map(([event, exchange]) => `${exchange} ${event}`).join(", ");
}

// Guards against orders of events that nobody thought of: an end that is claimed,
// a response that is traded, sent twice or never, work that is sent again.
describe("a request whose exchanges meet events in any order", () => {
  beforeAll(() => {
    vi.useFakeTimers({
      toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate"],
    });
  });

  afterAll(() => {
    vi.useRealTimers();
  });

  for (const requests of Object.values(RequestKind)) {
    it(`is ended once and truthfully, in every order (${requests})`, async () => {
      const found: string[] = [];
      let count = 0;
      const explore = async (steps: readonly Step[]): Promise<void> => {
        count += 1;
        const { next, faults } = await playAll(requests, steps);
        if (faults.length > 0) {
          found.push(`${describeSteps(steps)}: ${faults.join(", ")}`);
        }
        if (faults.length > 0 || steps.length === depth) return;
        for (const step of next) await explore([...steps, step]);
      };
      await explore([]);
      expect(found.slice(0, 10)).toEqual([]);
      expect(count).toBeGreaterThan(5000);
    });

    it(`is so in long orders drawn at random (${requests})`, async () => {
      const random = seededRandom(1);
      const found: string[] = [];
      for (let count = 0; count < randomSequenceCount; count += 1) {
        const play = new ExchangePlay(requests);
        await play.start();
        const steps: Step[] = [];
        while (steps.length < randomLength) {
          const { steps: possible } = play;
          if (possible.length === 0) break;
          const step = possible[Math.floor(random() * possible.length)]!;
          steps.push(step);
          await play.play(step);
        }
        const faults = await play.finish();
        if (faults.length > 0) {
          found.push(`${describeSteps(steps)}: ${faults.join(", ")}`);
        }
      }
      expect(found.slice(0, 10)).toEqual([]);
    });
  }
});
