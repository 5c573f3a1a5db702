import { Distance } from "@kingcupglade/dispatch";
import type { Pool } from "@kingcupglade/dispatch";
import { ManualClock } from "@kingcupglade/tasks";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SlotAcquisition } from "./slot_acquisition.ts";
import type { RoutedRequest } from "../requests/routed_request.ts";
import type { SlotListener } from "./slot_client.ts";

const deadlineMilliseconds = 3000;

interface ManagerRequest {
  readonly manager: string;
  readonly listener: SlotListener;
  isEnded: boolean;
}

function pool(manager: string, distance: Distance): Pool {
  return { manager, dataCentre: `of ${manager}`, distance, slots: 6 };
}

/** One request, and managers whose replies the test controls. */
class AcquisitionFixture {
  readonly requests: ManagerRequest[] = [];
  readonly granted: string[] = [];
  readonly refused: string[] = [];
  unmanaged = 0;
  readonly slots: SlotAcquisition;

  constructor(pools: readonly Pool[]) {
    const clock = new ManualClock(0);
    const target = (name: string) => ({ name, service: "s", dataCentre: "a" });
    this.slots = new SlotAcquisition({
      context: {
        clock,
        table: () => ({ target, mayServe: () => true }),
        selector: { isHomeRegion: () => true },
        notices: { mayUse: () => true, unusable: () => [] },
        pools: {
          poolFor: (
            _request: unknown,
            excluded: ReadonlySet<string>,
            dataCentres: ReadonlySet<string> = new Set(),
          ) =>
            pools.find(({ manager, dataCentre }) =>
              !excluded.has(manager) && !dataCentres.has(dataCentre)
            ),
        },
        slots: {
          requestSlot: (
            manager: string,
            _request: unknown,
            listener: SlotListener,
          ) => {
            const request = { manager, listener, isEnded: false };
            this.requests.push(request);
            return { end: () => void (request.isEnded = true) };
          },
        },
      } as never,
      routed: {
        route: { name: "r", homeRegions: [] },
        service: "s",
        position: undefined,
        arrivedAt: 0,
        deadlineAt: deadlineMilliseconds,
      } as unknown as RoutedRequest,
      granted: ({ name }) => void this.granted.push(name),
      refused: (reason) => void this.refused.push(reason),
      unmanaged: () => void (this.unmanaged += 1),
    });
  }

  requestSlot(): boolean {
    return this.slots.requestSlot({ tried: new Set(), only: null });
  }
}

describe("a request that waits for a slot", () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  const near = pool("near", Distance.dataCentre);
  const next = pool("next", Distance.region);
  const far = pool("far", Distance.far);

  it("is refused when no slot was granted before its deadline", () => {
    const fixture = new AcquisitionFixture([near]);
    expect(fixture.requestSlot()).toBe(true);
    vi.advanceTimersByTime(deadlineMilliseconds);
    expect(fixture.refused).toEqual(["no room in time"]);
    expect(fixture.requests[0]!.isEnded).toBe(true);
  });

  it("is not refused once it is sent without a manager, as it may run", () => {
    const fixture = new AcquisitionFixture([near]);
    fixture.requestSlot();
    fixture.requests[0]!.listener.unavailable();
    expect(fixture.unmanaged).toBe(1);
    vi.advanceTimersByTime(deadlineMilliseconds * 2);
    expect(fixture.refused).toEqual([]);
  });

  it("is not refused once it has a slot", () => {
    const fixture = new AcquisitionFixture([near]);
    fixture.requestSlot();
    fixture.requests[0]!.listener.granted("t");
    vi.advanceTimersByTime(deadlineMilliseconds * 2);
    expect(fixture.granted).toEqual(["t"]);
    expect(fixture.refused).toEqual([]);
  });

  it("uses the first slot of several managers and releases the others", () => {
    const fixture = new AcquisitionFixture([near, next, far]);
    fixture.requestSlot();
    fixture.requests[0]!.listener.waits(60);
    expect(fixture.requests.map(({ manager }) => manager)).toEqual([
      "near",
      "next",
    ]);
    fixture.requests[1]!.listener.granted("t");
    expect(fixture.requests[0]!.isEnded).toBe(true);
    fixture.requests[0]!.listener.granted("u");
    expect(fixture.granted).toEqual(["t"]);
  });

  it("is also sent to another region only if the expected wait is long", () => {
    const fixture = new AcquisitionFixture([near, far]);
    fixture.requestSlot();
    fixture.requests[0]!.listener.waits(60);
    expect(fixture.requests).toHaveLength(1);
    fixture.requests[0]!.listener.waits(300);
    expect(fixture.requests).toHaveLength(2);
  });

  it("is also sent to another manager when the first is late", () => {
    const fixture = new AcquisitionFixture([near, next]);
    fixture.requestSlot();
    fixture.requests[0]!.listener.late();
    expect(fixture.requests.map(({ manager }) => manager)).toEqual([
      "near",
      "next",
    ]);
  });

  it("releases a slot that is granted after it was closed", () => {
    const fixture = new AcquisitionFixture([near]);
    fixture.requestSlot();
    fixture.slots.close();
    fixture.requests[0]!.listener.granted("t");
    expect(fixture.granted).toEqual([]);
    expect(fixture.requests[0]!.isEnded).toBe(true);
  });
});
