import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import { AdmissionQueue } from "./admission_queue.ts";
import { ArrivalOrderQueue } from "./admission_simulation_fixture.ts";
import type { WaitingRequest } from "./admission_queue.ts";

/** Simulates a service with a few slots and equally long requests. */
class FakeService {
  readonly queue = new AdmissionQueue();
  readonly started: WaitingRequest[] = [];
  readonly refused: WaitingRequest[] = [];
  #free = 0;

  add(priority: number, more: Partial<WaitingRequest> = {}): void {
    const request: WaitingRequest = {
      priority,
      lane: "",
      arrivedAt: 0,
      objectiveAt: 600,
      deadlineAt: 2000,
      tryStart: () => {
        if (this.#free === 0) return false;
        this.#free -= 1;
        this.started.push(request);
        return true;
      },
      refuse: () => this.refused.push(request),
      ...more,
    };
    this.queue.add(request);
  }

  advance(free: number, now: number): void {
    this.#free = free;
    this.queue.advance(now, 200);
  }
}

describe("AdmissionQueue", () => {
  describe("burst of two priorities", () => {
    it("starts the more urgent first without starving the less urgent", () => {
      const service = new FakeService();
      for (let count = 0; count < 30; count += 1) {
        service.add(1);
        service.add(2);
      }
      service.advance(12, 0);
      const urgent = service.started.filter(({ priority }) => priority === 1);
      expect(urgent).toHaveLength(10);
    });

    it("starts requests that can still meet the objective before late ones", () => {
      const service = new FakeService();
      service.add(1, { arrivedAt: 0, objectiveAt: 600 });
      service.add(1, { arrivedAt: 500, objectiveAt: 1100 });
      service.advance(1, 700);
      expect(service.started[0]?.arrivedAt).toBe(500);
    });
  });

  describe("overload", () => {
    it("immediately refuses requests that can no longer finish in time", () => {
      const service = new FakeService();
      service.add(1, { deadlineAt: 1000 });
      service.advance(0, 790);
      expect(service.refused).toHaveLength(0);
      service.advance(0, 810);
      expect(service.refused).toHaveLength(1);
      expect(service.queue.length).toBe(0);
    });
  });

  describe("an owner that receives 2.5 times its capacity", () => {
    const meanMilliseconds = 1100;
    const slots = 6;
    const deadlineMilliseconds = 2500;

    /**
     * Returns the share of requests that are answered in time. The policy
     * either refuses requests with less than a mean duration left or starts
     * all of them.
     */
    function servedShare(policy: "refuse" | "all"): number {
      const generator = xoroshiro128plus(5);
      const random = () => (generator.next() >>> 0) / 2 ** 32;
      const queue = policy === "refuse"
        ? new AdmissionQueue()
        : new ArrivalOrderQueue();
      const ends: number[] = [];
      let [served, total, now] = [0, 0, 0];
      const tryStart = (arrivedAt: number) => {
        if (ends.length >= slots) return false;
        const slow = random() < 0.2 ? 3 : 1;
        const work = meanMilliseconds / 1.4 * (0.4 + 1.2 * random()) * slow;
        const deadlineAt = arrivedAt + deadlineMilliseconds;
        if (now + work <= deadlineAt) served += 1;
        // A target stops work at its deadline.
        ends.push(Math.min(now + work, deadlineAt));
        return true;
      };
      for (; now < 600_000; now += 10) {
        for (const end of ends.filter((each) => each <= now)) {
          ends.splice(ends.indexOf(end), 1);
        }
        if (random() < 2.5 * slots / meanMilliseconds * 10) {
          total += 1;
          const arrivedAt = now;
          queue.add({
            priority: 1,
            lane: "",
            arrivedAt,
            objectiveAt: arrivedAt + 3000,
            deadlineAt: arrivedAt + deadlineMilliseconds,
            tryStart: () => tryStart(arrivedAt),
            refuse: () => {},
          });
        }
        queue.advance(now, meanMilliseconds);
      }
      return served / total;
    }

    it("serves at least a quarter more by refusing infeasible requests", () => {
      const [all, withRefusals] = [servedShare("all"), servedShare("refuse")];
      expect(withRefusals).toBeGreaterThan(all * 1.25);
    });
  });

  describe("a lane without capacity", () => {
    it("does not block other lanes", () => {
      const service = new FakeService();
      service.add(1, { lane: "hot", tryStart: () => false });
      service.add(1, { lane: "cold", arrivedAt: 5 });
      service.advance(1, 10);
      expect(service.started.map(({ lane }) => lane)).toEqual(["cold"]);
    });
  });
});
