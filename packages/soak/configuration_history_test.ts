import { describe, expect, it } from "vitest";
import { ConfigurationHistory } from "./configuration_history.ts";
import type { Probe, SentChange } from "./configuration_history.ts";
import { ContactRecord } from "./contact_record.ts";
import { ProcessLife } from "./process_life.ts";

function life(
  name: string,
  signals: readonly (readonly [NodeJS.Signals, number])[] = [],
): ProcessLife {
  const created = new ProcessLife({
    name,
    pid: 1,
    startedAt: 0,
    graceMilliseconds: 3000,
    logFile: "",
    startupMilliseconds: () => 0,
  });
  for (const [signal, at] of signals) {
    created.recordSignal({ signal, at, processorMilliseconds: 1000 });
  }
  return created;
}

function contacts(options: {
  readonly gateway?: readonly (readonly [NodeJS.Signals, number])[];
  readonly control?:
    readonly (readonly (readonly [NodeJS.Signals, number])[])[];
} = {}): ContactRecord {
  const { gateway = [], control = [[], [], []] } = options;
  return new ContactRecord({
    gateways: new Map([["g", [life("g", gateway)]]]),
    control: control.map((signals, at) => [life(`c${at}`, signals)]),
  });
}

function change(overrides: Partial<SentChange>): SentChange {
  return {
    route: "r",
    version: 1,
    service: "catalogue",
    sentAt: 9900,
    acknowledgedAt: 10_000,
    ...overrides,
  };
}

function probe(overrides: Partial<Probe>): Probe {
  const { sentAt = 12_500 } = overrides;
  return {
    gateway: "g",
    routes: ["r"],
    outerService: null,
    sentAt,
    endedAt: sentAt + 20,
    status: 200,
    service: "catalogue",
    ...overrides,
  };
}

const unmatched = { status: 404, service: "" };

function violations(
  changes: readonly SentChange[],
  probes: readonly Probe[],
  contact: ContactRecord = contacts(),
): number {
  const history = new ConfigurationHistory();
  for (const each of changes) history.recordChange(each);
  for (const each of probes) history.recordProbe(each);
  return history.findViolations(contact).length;
}

describe("ConfigurationHistory", () => {
  describe("with a confirmed route", () => {
    it("finds a gateway that refuses it two seconds later", () => {
      expect(violations([change({})], [probe(unmatched)])).toBe(1);
      expect(violations([change({})], [probe({})])).toBe(0);
    });

    it("allows a refusal before that", () => {
      const early = probe({ ...unmatched, sentAt: 11_900 });
      expect(violations([change({})], [early])).toBe(0);
    });

    it("takes a refusal for no other status", () => {
      const busy = probe({ status: 503, service: "" });
      expect(violations([change({})], [busy])).toBe(0);
    });

    it("finds a route that is removed without an order", () => {
      const later = probe({ ...unmatched, sentAt: 60_000 });
      expect(violations([change({})], [later])).toBe(1);
    });
  });

  it("finds a removed route that still runs", () => {
    const removal = change({ version: 2, service: null });
    const first = change({ acknowledgedAt: 5000, sentAt: 4900 });
    expect(violations([first, removal], [probe({})])).toBe(1);
    expect(violations([first, removal], [probe(unmatched)])).toBe(0);
  });

  it("finds a service that no version in question names", () => {
    expect(violations([change({})], [probe({ service: "stock" })])).toBe(1);
  });

  it("allows what an unacknowledged change says, and what it replaces", () => {
    const { acknowledgedAt: _, ...open } = change({
      version: 2,
      service: "stock",
    });
    const probes = [probe({ service: "stock" }), probe({ service: "stock" })];
    expect(violations([change({}), open], probes)).toBe(0);
    expect(violations([change({}), open], [probe({})])).toBe(0);
  });

  it("finds an older version after a newer one, in one process only", () => {
    const { acknowledgedAt: _, ...open } = change({
      version: 2,
      service: "stock",
    });
    const probes = [
      probe({ service: "stock", sentAt: 13_000 }),
      probe({ sentAt: 13_600 }),
    ];
    expect(violations([change({}), open], probes)).toBe(1);
    const first = life("g", [["SIGKILL", 13_300]]);
    first.recordExit({ at: 13_300, code: null, signal: "SIGKILL" });
    const second = new ProcessLife({
      name: "g",
      pid: 2,
      startedAt: 13_400,
      graceMilliseconds: 0,
      logFile: "",
      startupMilliseconds: () => 0,
    });
    const restarted = new ContactRecord({
      gateways: new Map([["g", [first, second]]]),
      control: [],
    });
    expect(violations([change({}), open], probes, restarted)).toBe(0);
  });

  it("knows that a longer prefix hides a shorter one", () => {
    const nested = { outerService: "catalogue" };
    const removal = change({ service: null });
    expect(violations([removal], [probe(nested)])).toBe(0);
    expect(violations([removal], [probe({ ...nested, ...unmatched })])).toBe(1);
    const stock = change({ service: "stock" });
    expect(violations([stock], [probe(nested)])).toBe(1);
  });

  it("finds a place that loses the route that replaces another", () => {
    const changes = [
      change({ route: "a", sentAt: 4900, acknowledgedAt: 5000 }),
      change({ route: "a", version: 2, service: null }),
      change({ route: "b" }),
    ];
    const routes = ["a", "b"];
    expect(violations(changes, [probe({ routes })])).toBe(0);
    expect(violations(changes, [probe({ routes, ...unmatched })])).toBe(1);
  });

  it("finds what control lost, kept or returned in an older state", () => {
    const history = new ConfigurationHistory();
    history.recordChange(change({ route: "kept", version: 4 }));
    history.recordChange(change({ route: "gone", version: 2, service: null }));
    const find = (current: Readonly<Record<string, number>>) =>
      history.findLostChanges(new Map(Object.entries(current))).length;
    expect(find({ kept: 4 })).toBe(0);
    expect(find({ kept: 3 })).toBe(1);
    expect(find({})).toBe(1);
    expect(find({ kept: 4, gone: 1 })).toBe(1);
  });

  // A call that no control VM answers need not have taken effect.
  it("does not take a change for lost that was never acknowledged", () => {
    const history = new ConfigurationHistory();
    history.recordChange(change({ route: "kept", version: 4 }));
    const { acknowledgedAt: _, ...unacknowledged } = change({
      route: "kept",
      version: 5,
    });
    history.recordChange(unacknowledged);
    const find = (version: number) =>
      history.findLostChanges(new Map([["kept", version]])).length;
    expect(find(5)).toBe(0);
    expect(find(4)).toBe(0);
    expect(find(3)).toBe(1);
  });

  describe("of a fleet that is disturbed", () => {
    it("excuses a gateway for three seconds after a signal", () => {
      const refusal = [probe(unmatched)];
      const paused = contacts({ gateway: [["SIGCONT", 9600]] });
      expect(violations([change({})], refusal, paused)).toBe(0);
      const before = contacts({ gateway: [["SIGCONT", 9400]] });
      expect(violations([change({})], refusal, before)).toBe(1);
      const reloaded = contacts({ gateway: [["SIGHUP", 12_000]] });
      expect(violations([change({})], refusal, reloaded)).toBe(1);
    });

    it("gives five more seconds while one control VM is away", () => {
      const late = probe({ ...unmatched, sentAt: 17_500 });
      const away = contacts({ control: [[["SIGKILL", 16_000]], [], []] });
      const early = probe({ ...unmatched, sentAt: 16_500 });
      expect(violations([change({})], [early], away)).toBe(0);
      expect(violations([change({})], [late], away)).toBe(1);
    });

    it("excuses all while two are", () => {
      const late = probe({ ...unmatched, sentAt: 17_500 });
      const signals = [["SIGKILL", 16_000]] as const;
      const away = contacts({ control: [signals, signals, []] });
      expect(violations([change({})], [late], away)).toBe(0);
      const earlier = [["SIGKILL", 12_000]] as const;
      const inTurn = contacts({
        control: [signals, earlier, [["SIGKILL", 12_100]]],
      });
      expect(violations([change({})], [late], inTurn)).toBe(0);
    });
  });

  it("tells how late a version was, whoever is excused", () => {
    const history = new ConfigurationHistory();
    history.recordChange(change({}));
    const moved = { version: 2, service: "stock", acknowledgedAt: 12_000 };
    history.recordChange(change({ ...moved, sentAt: 11_900 }));
    history.recordProbe(probe({ sentAt: 11_000 }));
    history.recordProbe(probe({ sentAt: 12_400 }));
    history.recordProbe(probe({ sentAt: 12_500, service: "stock" }));
    expect(history.findLateHandlings()).toEqual([
      { gateway: "g", route: "r", sentAt: 12_400, milliseconds: 400 },
    ]);
  });
});
