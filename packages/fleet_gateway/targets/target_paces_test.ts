import {
  ExchangeEnd,
  PaceDecision,
  PaceReason,
  TargetRecord,
} from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import { ManualClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { beforeEach, describe, expect, it } from "vitest";
import { Chooser, TargetPaces } from "./target_paces.ts";

function view(name: string, changes: Partial<TargetView> = {}): TargetView {
  return {
    name,
    service: "catalogue",
    address: `${name}:80`,
    dataCentre: "a",
    slots: 2,
    isLeaving: false,
    isCold: false,
    coldGateways: [],
    maximumPerSecond: null,
    limitGateways: [],
    bornAt: 1000,
    ...changes,
  };
}

describe("the pacing of a chooser's targets", () => {
  let clock: ManualClock;
  let targets: Map<string, TargetView>;
  let records: Map<string, TargetRecord>;
  let changes: Record<string, unknown>[];
  let metrics: ReturnType<typeof createMetrics>;
  let paces: TargetPaces;
  let isComplete: boolean;
  let isPaced: (target: TargetView) => boolean;
  const dataCentresOut = new Set<string>();

  function create(chooser: Chooser): TargetPaces {
    return new TargetPaces({
      chooser,
      isPaced: (target) => isPaced(target),
      table: () => ({
        position: { index: 1, term: 1, revision: 1, isComplete },
        target: (name) => targets.get(name),
        targets: targets.values(),
        mayServe: ({ isLeaving, dataCentre }) =>
          !isLeaving && !dataCentresOut.has(dataCentre),
      }),
      records,
      clock,
      random: () => 0,
      logger: {
        debug() {},
        warn() {},
        error() {},
        info: (event: string, fields?: object) =>
          void changes.push({ event, ...fields }),
      },
      metrics,
    });
  }

  beforeEach(() => {
    clock = new ManualClock(1000);
    targets = new Map();
    records = new Map();
    changes = [];
    metrics = createMetrics();
    isComplete = true;
    isPaced = () => true;
    dataCentresOut.clear();
    paces = create(Chooser.gateway);
  });

  function list(...views: readonly TargetView[]): void {
    for (const each of views) targets.set(each.name, each);
    paces.handleTableChange();
  }

  const isPacedNow = (name: string) => records.get(name)?.pace !== undefined;
  const reasons = () => changes.map(({ reason }) => reason);

  async function pacedCount(chooser: Chooser) {
    const { values } = await metrics.pacedTargets.get();
    return values.find(({ labels }) => labels.chooser === chooser)?.value;
  }

  it("does not slow down a fleet that starts as a whole", () => {
    isComplete = false;
    list(view("t1"));
    isComplete = true;
    list(view("t2", { isCold: true }));
    // Also when the cold period that it began in ends.
    list(view("t2"));
    expect(isPacedNow("t1")).toBe(false);
    expect(isPacedNow("t2")).toBe(false);
  });

  it("begins when a target appears after the first complete table", async () => {
    list(view("t1"));
    list(view("t2"));
    expect(isPacedNow("t1")).toBe(false);
    expect(isPacedNow("t2")).toBe(true);
    expect(changes).toEqual([{
      event: "target-pace-changed",
      target: "t2",
      bornAt: 1000,
      chooser: "gateway",
      slots: 2,
      before: null,
      after: 1,
      reason: PaceReason.appeared,
      ageMilliseconds: 0,
      durationMilliseconds: null,
      expectedMilliseconds: null,
    }]);
    expect(await pacedCount(Chooser.gateway)).toBe(1);
  });

  it("begins with a new incarnation, without the observations of the last", () => {
    list(view("t1"));
    const previous = new TargetRecord();
    previous.begin();
    records.set("t1", previous);
    list(view("t1", { bornAt: 2000 }));
    expect(isPacedNow("t1")).toBe(true);
    expect(records.get("t1")?.inFlight).toBe(0);
  });

  it("does not take an incarnation that becomes known for a new one", () => {
    list(view("t1", { bornAt: 0 }));
    list(view("t1", { bornAt: 2000 }));
    expect(isPacedNow("t1")).toBe(false);
  });

  it("begins when a cold period ends, not before", () => {
    list();
    list(view("t1", { isCold: true }));
    expect(isPacedNow("t1")).toBe(false);
    list(view("t1"));
    expect(reasons()).toEqual([PaceReason.coldPeriodEnded]);
  });

  it("begins when a data centre returns", () => {
    list(view("t1"));
    dataCentresOut.add("a");
    list();
    dataCentresOut.clear();
    list();
    expect(reasons()).toEqual([PaceReason.returned]);
  });

  it("begins when the cold period ends after a data centre returned", () => {
    list(view("t1"));
    dataCentresOut.add("a");
    list();
    dataCentresOut.clear();
    list(view("t1", { isCold: true }));
    expect(reasons()).toEqual([]);
    list(view("t1"));
    expect(reasons()).toEqual([PaceReason.coldPeriodEnded]);
  });

  function breakExchange(record: TargetRecord): void {
    record.begin();
    record.end(ExchangeEnd.broken, {
      now: 1000,
      durationMilliseconds: 10,
      expectedMilliseconds: 250,
    });
  }

  it("begins after broken exchanges, with one request at a time", () => {
    const target = view("t1");
    list(target);
    const record = new TargetRecord();
    records.set("t1", record);
    const situation = { choosers: 88, meanMilliseconds: 250 };
    breakExchange(record);
    breakExchange(record);
    expect(paces.decide(target, record, situation)).toBe(PaceDecision.open);
    record.begin();
    expect(paces.decide(target, record, situation)).toBe(PaceDecision.closed);
    record.end(ExchangeEnd.answered, {
      now: 1250,
      durationMilliseconds: 250,
      expectedMilliseconds: 250,
    });
    expect(isPacedNow("t1")).toBe(false);
    expect(reasons()).toEqual([PaceReason.broken, PaceReason.inTime]);
  });

  it("does not begin for breaks between responses", () => {
    // A gateway that is cut off reports breaks at every target to managers,
    // while others get responses.
    const target = view("t1");
    list(target);
    const record = new TargetRecord();
    records.set("t1", record);
    const situation = { choosers: 1, meanMilliseconds: 250 };
    for (let count = 0; count < 5; count += 1) {
      breakExchange(record);
      record.begin();
      expect(paces.decide(target, record, situation)).toBe(PaceDecision.open);
      record.end(ExchangeEnd.answered, {
        now: 1250,
        durationMilliseconds: 250,
        expectedMilliseconds: 250,
      });
    }
    expect(reasons()).toEqual([]);
  });

  it("leaves targets to the manager of their slots", () => {
    isPaced = () => false;
    list();
    list(view("t1"));
    expect(isPacedNow("t1")).toBe(false);
  });

  it("leaves cold targets to their rate", () => {
    const target = view("t1", { isCold: true });
    const record = new TargetRecord();
    breakExchange(record);
    breakExchange(record);
    const decision = paces.decide(target, record, {
      choosers: 88,
      meanMilliseconds: 250,
    });
    expect(decision).toBe(PaceDecision.open);
    expect(changes).toEqual([]);
  });

  it("gives a target its share of the slots that can take requests", () => {
    const near = [view("t1"), view("t2"), view("t3", { isCold: true })];
    const far = view("t4", { dataCentre: "b" });
    list();
    list(...near, far);
    const { pace } = records.get("t1")!;
    const situation = {
      now: 1001,
      inFlight: 0,
      choosers: 88,
      meanMilliseconds: 1e9,
    };
    // The bound is 1 of 2 slots, and the share 2 of 4 near slots.
    const receivedUntilDue = () => {
      for (let count = 1;; count += 1) {
        paces.recordReceived(
          [...near, far],
          ({ dataCentre }) => dataCentre === "a",
        );
        if (pace!.decide(situation) === PaceDecision.due) return count;
      }
    };
    expect(receivedUntilDue()).toBe(4);
  });

  it("ends for a gateway that sends the target nothing", async () => {
    list();
    list(view("t1"));
    clock.advance(10_000);
    paces.expire();
    expect(isPacedNow("t1")).toBe(false);
    expect(paces.isPacing).toBe(false);
    expect(reasons()).toEqual([PaceReason.appeared, PaceReason.expired]);
    expect(await pacedCount(Chooser.gateway)).toBe(0);
  });

  it("does not end for a manager that granted none of its slots", async () => {
    // No other VM can have used it in the meantime.
    paces = create(Chooser.manager);
    list();
    list(view("t1"));
    clock.advance(60_000);
    paces.expire();
    expect(isPacedNow("t1")).toBe(true);
    expect(await pacedCount(Chooser.manager)).toBe(1);
  });

  it("is forgotten with its target", async () => {
    list();
    list(view("t1"));
    targets.clear();
    paces.handleTableChange();
    expect(paces.isPacing).toBe(false);
    expect(await pacedCount(Chooser.gateway)).toBe(0);
    list(view("t1"));
    expect(reasons()).toEqual([PaceReason.appeared, PaceReason.appeared]);
  });
});
