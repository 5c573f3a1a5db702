import { describe, expect, it } from "vitest";
import { AdmissionQueue } from "./admission_queue.ts";
import type { WaitingRequest } from "./admission_queue.ts";

/** A service with a few slots, on which requests last equally long. */
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
  describe("burst of two kinds", () => {
    it("starts the more urgent first, and lets the other not starve", () => {
      const service = new FakeService();
      for (let count = 0; count < 30; count += 1) {
        service.add(1);
        service.add(2);
      }
      service.advance(12, 0);
      const urgent = service.started.filter(({ priority }) => priority === 1);
      expect(urgent).toHaveLength(10);
    });

    it("starts those that can still be in time before those that are late", () => {
      const service = new FakeService();
      service.add(1, { arrivedAt: 0, objectiveAt: 600 });
      service.add(1, { arrivedAt: 500, objectiveAt: 1100 });
      service.advance(1, 700);
      expect(service.started[0]?.arrivedAt).toBe(500);
    });
  });

  describe("overload", () => {
    it("refuses at once what can no longer be done", () => {
      const service = new FakeService();
      service.add(1, { deadlineAt: 1000 });
      service.advance(0, 850);
      expect(service.refused).toHaveLength(0);
      service.advance(0, 950);
      expect(service.refused).toHaveLength(1);
      expect(service.queue.length).toBe(0);
    });
  });

  describe("hot key", () => {
    it("lets a lane without room hold up no other", () => {
      const service = new FakeService();
      service.add(1, { lane: "hot", tryStart: () => false });
      service.add(1, { lane: "cool", arrivedAt: 5 });
      service.advance(1, 10);
      expect(service.started.map(({ lane }) => lane)).toEqual(["cool"]);
    });
  });
});
