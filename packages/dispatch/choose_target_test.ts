import { describe, expect, it } from "vitest";
import { chooseTarget, Distance, hasCapacityFor } from "./choose_target.ts";
import type { TargetOption } from "./choose_target.ts";
import { ExchangeEnd } from "./exchange_end.ts";
import { TargetRecord } from "./target_record.ts";

const slots = 6;

function option(name: string, distance: Distance): TargetOption {
  return { name, slots, distance, record: new TargetRecord() };
}

function choose(targets: readonly TargetOption[], now = 1000) {
  return chooseTarget(targets, {
    now,
    meanMilliseconds: 220,
    workMilliseconds: 220,
    objectiveMilliseconds: 600,
    gateways: 9,
    random: () => 0.5,
    tried: new Set(),
  });
}

function recordExchange(
  { record }: TargetOption,
  durationMilliseconds: number,
  end: ExchangeEnd = ExchangeEnd.answered,
): void {
  record.begin();
  record.end(end, {
    now: 1000,
    durationMilliseconds,
    expectedMilliseconds: 220,
  });
}

describe("chooseTarget", () => {
  it("stays in the region while its targets answer in time", () => {
    const near = option("near", Distance.region);
    const far = option("far", Distance.far);
    recordExchange(near, 300);
    recordExchange(far, 50);
    expect(choose([far, near])).toMatchObject({ target: { name: "near" } });
  });

  it("crosses regions when no local target would answer in time", () => {
    const near = option("near", Distance.region);
    const far = option("far", Distance.far);
    for (let count = 0; count < 9; count += 1) recordExchange(near, 2000);
    expect(choose([far, near])).toMatchObject({ target: { name: "far" } });
  });

  it("avoids a target whose requests fail", () => {
    const failing = option("failing", Distance.region);
    const healthy = option("healthy", Distance.region);
    for (let count = 0; count < 4; count += 1) {
      recordExchange(failing, 5, ExchangeEnd.failed);
      recordExchange(healthy, 260);
    }
    expect(choose([failing, healthy])).toMatchObject({
      target: { name: "healthy" },
    });
  });

  it("ejects an unresponsive target and tries it again later", () => {
    const unresponsive = option("unresponsive", Distance.dataCentre);
    const healthy = option("healthy", Distance.region);
    recordExchange(unresponsive, 0, ExchangeEnd.broken);
    expect(choose([unresponsive, healthy])).toMatchObject({
      target: { name: "healthy" },
    });
    expect(choose([unresponsive, healthy], 20_000))
      .toMatchObject({ target: { name: "unresponsive" } });
  });

  it("uses ejected targets when most targets are ejected", () => {
    const targets = ["a", "b", "c"].map((name) =>
      option(name, Distance.region)
    );
    for (const target of targets) recordExchange(target, 0, ExchangeEnd.broken);
    expect(choose(targets).kind).toBe("chosen");
  });

  it("does not let one request from each of many gateways fill a queue", () => {
    const full = { running: 6, waiting: 4, slots, slowdown: 1 };
    const hasCapacity = (gateways: number) => {
      const record = new TargetRecord();
      record.report(full, 1000);
      return hasCapacityFor(record, {
        now: 1000,
        slots: slots + 4,
        gateways,
        meanMilliseconds: 220,
      });
    };
    // Nine gateways may send one request each, as not all do so at once; those
    // of 72 gateways could exceed the queue.
    expect(hasCapacity(9)).toBe(true);
    expect(hasCapacity(72)).toBe(false);
  });

  it("makes requests wait when every slot is in use", () => {
    const target = option("only", Distance.region);
    target.record.report(
      { running: 6, waiting: 2, slots, slowdown: 1 },
      1000,
    );
    target.record.begin();
    expect(choose([target]).kind).toBe("wait");
  });
});

describe("chooseTarget with paced targets", () => {
  it("chooses a target whose share is due before cheaper ones", () => {
    const idle = option("idle", Distance.dataCentre);
    const due = { ...option("due", Distance.region), pace: "due" as const };
    expect(choose([idle, due])).toMatchObject({ target: { name: "due" } });
  });

  it("does not cross regions for a share that is due", () => {
    const idle = option("idle", Distance.region);
    const due = { ...option("due", Distance.far), pace: "due" as const };
    expect(choose([idle, due])).toMatchObject({ target: { name: "idle" } });
  });

  it("does not choose an ejected target although its share is due", () => {
    const idle = option("idle", Distance.region);
    const due = { ...option("due", Distance.region), pace: "due" as const };
    recordExchange(due, 0, ExchangeEnd.broken);
    expect(choose([idle, due])).toMatchObject({ target: { name: "idle" } });
  });

  it("makes requests wait for a closed target instead of refusing them", () => {
    // Without the closed target, every target would count as tried.
    const closed = {
      ...option("new", Distance.region),
      pace: "closed" as const,
    };
    expect(choose([closed]).kind).toBe("wait");
  });
});
