import type { HistoryEvent, TimedEvent } from "@kingcupglade/fakes";
import { describe, expect, it } from "vitest";
import { checkHistory } from "./check_history.ts";
import { formatViolations, PromiseName } from "./violation.ts";

type At = readonly [number, HistoryEvent];

const group = "fixture-stock@hsinchu+taichung";
const grant = { group, start: 0, end: 100, epoch: 5 };
const boot = (target: string) => `${target}-boot`;

const leased = (at: number, target: string, until: number): At => [
  at,
  { kind: "leased", target, boot: boot(target), until },
];
const granted = (
  at: number,
  target: string,
  ...epochs: readonly number[]
): At => [at, {
  kind: "granted",
  target,
  boot: boot(target),
  grants: epochs.map((epoch) => ({ ...grant, epoch })),
}];
const condition = (
  at: number,
  target: string,
  value: string,
  kind: "condition" | "announced" = "condition",
): At => [at, { kind, target, boot: boot(target), condition: value }];
const asked = (at: number, request: string, idempotencyKey = ""): At => [at, {
  kind: "asked",
  request,
  tenant: "toolroom",
  key: "clamp-7",
  vm: "vm-1",
  idempotent: false,
  idempotencyKey,
}];
const started = (
  at: number,
  request: string,
  changes: Partial<Extract<HistoryEvent, { kind: "started" }>> = {},
): At => [at, {
  kind: "started",
  target: "a",
  boot: boot(changes.target ?? "a"),
  request,
  group,
  position: 7,
  epoch: 5,
  inProgress: 1,
  limit: 1,
  service: "fixture-stock",
  dataCentre: "hsinchu-a",
  condition: "serving",
  checksFences: true,
  ...changes,
}];
const effect = (at: number, request: string, target = "a"): At => [
  at,
  { kind: "effect", target, request, idempotent: false },
];
const ended = (at: number, request: string, target = "a"): At => [
  at,
  { kind: "ended", target, request },
];
const told = (
  at: number,
  request: string,
  changes: Partial<Extract<HistoryEvent, { kind: "told" }>> = {},
): At => [at, {
  kind: "told",
  request,
  status: 200,
  outcome: "answered",
  reason: "",
  answerTo: request,
  whole: true,
  ...changes,
}];
const rolling = (at: number, version: number, inService = true): At => [at, {
  kind: "rolling",
  version,
  digest: `digest-${version}`,
  dataCentres: [
    { name: "hsinchu-a", region: "hsinchu", inService },
    { name: "kaohsiung-a", region: "kaohsiung", inService: true },
  ],
  homes: [{
    service: "fixture-stock",
    tenant: "toolroom",
    regions: ["hsinchu", "taichung"],
  }],
}];
const rolled = (at: number, version: number, sentAt = at - 1): At => [at, {
  kind: "rolled",
  outcome: "accepted",
  sentAt,
  version,
  digest: `digest-${version}`,
}];
const tableSeen = (at: number, version: number): At => [at, {
  kind: "tableSeen",
  vm: "vm-1",
  hasLease: true,
  version,
  digest: `digest-${version}`,
}];
const hop = (at: number, region: string, keeps = true): At => [at, {
  kind: "hop",
  request: "r1",
  service: "",
  vm: `vm of ${region}`,
  region,
  keeps,
}];
const logged = (at: number, region: string): At => [at, {
  kind: "logged",
  vm: `vm of ${region}`,
  region,
  tenant: "toolroom",
  line: "request-failed",
}];
const stop = (at: number, name: string, subject: "vm" | "target"): At => [
  at,
  { kind: "stopping", subject, name, address: name },
];

/** A move of a range, a cold start, two rolls and two planned stops. */
const cleanRun: readonly At[] = [
  rolling(0, 1),
  rolled(2, 1),
  tableSeen(5, 1),
  condition(6, "a", "cold"),
  leased(7, "a", 6000),
  granted(8, "a", 5),
  asked(10, "r1", "once"),
  hop(10.1, "kaohsiung", false),
  hop(10.2, "taichung"),
  logged(10.3, "hsinchu"),
  started(11, "r1", { condition: "cold" }),
  effect(12, "r1"),
  ended(13, "r1"),
  told(14, "r1"),
  asked(15, "r2", "once"),
  told(16, "r2", { answerTo: "r1" }),
  asked(17, "r3"),
  stop(18, "vm-1", "vm"),
  told(19, "r3", { status: 503, outcome: "not-run" }),
  condition(20, "a", "leaving"),
  condition(21, "a", "leaving", "announced"),
  granted(30, "a"),
  condition(31, "b", "serving"),
  leased(31, "b", 20_000),
  granted(32, "b", 9),
  stop(40, "a", "target"),
  [41, { kind: "stopped", subject: "target", name: "a" }],
  rolling(50, 2, false),
  rolled(55, 2, 50),
  tableSeen(4000, 2),
  started(4600, "r4", { target: "b", epoch: 9, dataCentre: "kaohsiung-a" }),
  effect(4601, "r4", "b"),
  ended(4602, "r4", "b"),
];

/** For each promise, events that a faulty system would add to the run. */
const plantedFaults: Readonly<Record<PromiseName, readonly At[]>> = {
  [PromiseName.singleOwner]: [granted(33, "a", 5)],
  [PromiseName.assignmentSurvives]: [granted(34, "b", 5, 9)],
  [PromiseName.coldTarget]: [
    started(11.5, "r5", { condition: "cold", inProgress: 2 }),
    ended(11.6, "r5"),
  ],
  [PromiseName.dataCentreOut]: [
    started(4700, "r5", { target: "b", epoch: 9 }),
  ],
  [PromiseName.homeRegions]: [
    asked(4700, "r5"),
    started(4701, "r5", {
      target: "b",
      epoch: 9,
      dataCentre: "kaohsiung-a",
    }),
  ],
  [PromiseName.wholeAnswer]: [
    asked(15, "r5"),
    told(16, "r5", { answerTo: "r1" }),
  ],
  [PromiseName.notRunIsTrue]: [
    started(19.1, "r3"),
    effect(19.2, "r3"),
    ended(19.3, "r3"),
  ],
  [PromiseName.atMostOnce]: [effect(15.5, "r2")],
  [PromiseName.leavingTarget]: [
    started(4700, "r5", { dataCentre: "kaohsiung-a" }),
  ],
  [PromiseName.plannedStop]: [
    asked(17.5, "r5"),
    told(19, "r5", { status: 0, outcome: "", whole: false }),
  ],
  [PromiseName.bundleInForce]: [tableSeen(5000, 1)],
};

/** Other ways to break the promises that speak of more than one thing. */
const furtherFaults: readonly (readonly [PromiseName, ...At[]])[] = [
  [
    PromiseName.singleOwner,
    started(35, "r6"),
    effect(36, "r6"),
    ended(37, "r6"),
  ],
  [PromiseName.homeRegions, hop(10.5, "kaohsiung")],
  [PromiseName.homeRegions, logged(10.5, "kaohsiung")],
  [PromiseName.bundleInForce, rolled(100, 1, 90)],
  [
    PromiseName.bundleInForce,
    [60, {
      kind: "tableSeen",
      vm: "vm-2",
      hasLease: true,
      version: 2,
      digest: "other",
    }],
  ],
  [PromiseName.plannedStop, started(39, "r6", { target: "a" })],
];

function run(...events: readonly At[]): readonly TimedEvent[] {
  return [...events].sort(([left], [right]) => left - right).map((
    [at, event],
  ) => ({ ...event, at }));
}

describe("the history checker", () => {
  it("passes a run that keeps every promise", () => {
    expect(formatViolations(checkHistory(run(...cleanRun)))).toBe("");
  });

  describe("names the one promise that a planted fault breaks", () => {
    const faults = Object.entries(plantedFaults).map(([promise, fault]) =>
      [promise, ...fault] as const
    );
    for (const [promise, ...fault] of [...faults, ...furtherFaults]) {
      it(promise, () => {
        const violations = checkHistory(run(...cleanRun, ...fault));
        expect([...new Set(violations.map((each) => each.promise))])
          .toEqual([promise]);
        expect(violations[0]!.events.length).toBeGreaterThan(0);
      });
    }
  });

  describe("a grace time", () => {
    it("leaves out the time that the whole run stood still", () => {
      const late = [...cleanRun, tableSeen(4500, 1)];
      const stall: At = [4400, { kind: "stalled", milliseconds: 1000 }];
      const broken = (events: readonly At[]) =>
        checkHistory(run(...events)).some((each) =>
          each.message.startsWith("vm-1 routed by version 1")
        );
      expect(broken(late)).toBe(true);
      expect(broken([...late, stall])).toBe(false);
    });
  });
});
