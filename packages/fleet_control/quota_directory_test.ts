import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type {
  FleetCommand,
  FleetOutcome,
  FleetState,
} from "@kingcupglade/fleet";
import { ItemKind } from "@kingcupglade/items";
import type { StoredItem, StoredItems } from "@kingcupglade/items";
import { defaultQuotaSettings, unpackAnswer } from "@kingcupglade/quotas";
import type { QuotaReportRow } from "@kingcupglade/quotas";
import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { QuotaDirectory } from "./quota_directory.ts";
import type { Watch } from "./watch.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };

function itemsOf(ratePerSecond: number): StoredItems {
  const item: StoredItem = {
    kind: ItemKind.workspace,
    name: "works",
    version: 1,
    content: {
      kind: ItemKind.workspace,
      name: "works",
      keyDigests: [],
      priority: null,
      ratePerSecond,
      burst: 0,
      homeRegions: [],
    },
    source: "",
    changedAt: 1,
  };
  return new Map([[`${ItemKind.workspace}/works`, item]]);
}

describe("QuotaDirectory", () => {
  let clock: ManualClock;
  let state: FleetState;
  let woken: string[];
  let commands: FleetCommand[];
  let isHeld: boolean;
  let lines: string[];

  beforeEach(() => {
    clock = new ManualClock();
    state = emptyFleetState;
    woken = [];
    commands = [];
    isHeld = false;
    lines = [];
  });

  async function propose(command: FleetCommand): Promise<FleetOutcome> {
    commands.push(command);
    if (isHeld) return new Promise(() => {});
    const applied = new FleetMachine().apply(state, command, commands.length);
    state = applied.state;
    return await Promise.resolve(applied.outcome);
  }

  function setItems(items: StoredItems): void {
    state = { ...state, items };
  }

  /** Records a gateway as a borrower. */
  async function record(directory: QuotaDirectory, gateway: string) {
    exchange(directory, watch(gateway, 1, ["works", 0, 0]));
    clock.advance(100);
    directory.tick();
    await new Promise((resolve) => setImmediate(resolve));
  }

  function createDirectory(): QuotaDirectory {
    return new QuotaDirectory({
      replica: {
        get state() {
          return state;
        },
        propose,
      },
      clock,
      logger: {
        ...logger,
        info: (event: string) => lines.push(event),
        warn: (event: string) => lines.push(event),
      } as never,
      term: 2,
      quotas: defaultQuotaSettings,
      wake: (gateway) => woken.push(gateway),
    });
  }

  function watch(gateway: string, number: number, row: QuotaReportRow): Watch {
    const quotas = [number, "i1", 0, number === 1 ? 1 : 0, row];
    return { gateway, quotas } as unknown as Watch;
  }

  function exchange(directory: QuotaDirectory, sent: Watch) {
    directory.recordWatch(sent);
    return answer(directory, sent);
  }

  function answer(directory: QuotaDirectory, sent: Watch) {
    return unpackAnswer(
      directory.answerWatch(sent, { confirmedAgeMilliseconds: 0 }).quotas,
    )?.rows;
  }

  it("lends the limit of a workspace that was added in its term", async () => {
    const directory = createDirectory();
    setItems(itemsOf(100));
    await record(directory, "a");
    const rows = exchange(directory, watch("a", 2, ["works", 0, 40]));
    expect(rows).toEqual([["works", 70]]);
  });

  // Failure: a leader that is lost before the commit leaves a loan that its
  // successor does not know.
  it("lends nothing while the record of a gateway is not committed", async () => {
    isHeld = true;
    const directory = createDirectory();
    setItems(itemsOf(100));
    await record(directory, "a");
    expect(commands).toEqual([
      { kind: "changeBorrowers", add: ["a/i1"], remove: [] },
    ]);
    expect(exchange(directory, watch("a", 2, ["works", 0, 40]))).toEqual([]);
  });

  it("answers a gateway at once that has been recorded", async () => {
    const directory = createDirectory();
    setItems(itemsOf(100));
    exchange(directory, watch("a", 1, ["works", 0, 40]));
    expect(directory.isAnswerDue("a")).toBe(false);
    await new Promise((resolve) => setImmediate(resolve));
    expect(woken).toEqual(["a"]);
    expect(directory.isAnswerDue("a")).toBe(true);
    exchange(directory, watch("a", 2, ["works", 0, 40]));
    expect(directory.isAnswerDue("a")).toBe(false);
  });

  // Failure: a voter of an earlier release ends at a command that it does not
  // know; there is none only while there are limits.
  it("proposes no record without a workspace with a limit", async () => {
    const directory = createDirectory();
    await record(directory, "a");
    setItems(itemsOf(0));
    await record(directory, "b");
    expect(commands).toEqual([]);
  });

  it("lends at once what its borrowers do not hold, once all have reported", async () => {
    setItems(itemsOf(100));
    await propose({ kind: "changeBorrowers", add: ["a/i1"], remove: [] });
    const directory = createDirectory();
    exchange(directory, watch("a", 1, ["works", 10, 40]));
    expect(lines).toEqual([]);
    const next = watch("a", 2, ["works", 10, 40]);
    // It has applied the answer to its first report.
    Object.assign(next, { quotas: [2, "i1", 1, 0, ["works", 10, 40]] });
    expect(exchange(directory, next)).toEqual([["works", 70]]);
    expect(lines).toEqual(["quotas-settled"]);
  });

  // Callers of one gateway must not wait for the next watch.
  it("records a higher bound and answers the gateway at once", async () => {
    const directory = createDirectory();
    setItems(itemsOf(100));
    await record(directory, "a");
    const sent = watch("a", 2, ["works", 0, 300]);
    expect(exchange(directory, sent)).toEqual([["works", 70]]);
    clock.advance(100);
    directory.tick();
    await new Promise((resolve) => setImmediate(resolve));
    expect(commands.at(-1)).toMatchObject({ bounds: [["a/i1", "works", 563]] });
    expect(directory.isAnswerDue("a")).toBe(true);
    expect(exchange(directory, watch("a", 3, ["works", 70, 300])))
      .toEqual([["works", 375]]);
  });

  // Failure: callers wait for the leader's next tick before more is lent.
  it("proposes a higher bound together with the answer that falls short", async () => {
    const directory = createDirectory();
    setItems(itemsOf(100));
    await record(directory, "a");
    clock.advance(100);
    exchange(directory, watch("a", 2, ["works", 0, 300]));
    expect(commands.at(-1)).toMatchObject({ bounds: [["a/i1", "works", 563]] });
  });

  // Failure: callers are rejected until the hold of the next watch has passed.
  it("answers the watch after one that a call has made outdated at once", async () => {
    const directory = createDirectory();
    setItems(itemsOf(100));
    await record(directory, "a");
    const held = watch("a", 2, ["works", 0, 300]);
    directory.recordWatch(held);
    const report = [3, "i1", 0, 0, ["works", 0, 300]] as const;
    directory.handleCall({ gateway: "a", report }, 0);
    const applied = [4, "i1", 3, 0, ["works", 70, 300]] as const;
    directory.handleCall({ gateway: "a", report: applied }, 0);
    clock.advance(100);
    directory.tick();
    await new Promise((resolve) => setImmediate(resolve));
    expect(woken).toContain("a");
    expect(answer(directory, held)).toEqual([]);
    expect(directory.isAnswerDue("a")).toBe(true);
    const next = watch("a", 5, ["works", 70, 300]);
    expect(exchange(directory, next)).toEqual([["works", 375]]);
    expect(directory.isAnswerDue("a")).toBe(false);
  });

  it("keeps a record whose removal may be committed from being used", async () => {
    setItems(itemsOf(100));
    await propose({ kind: "changeBorrowers", add: ["a/i1"], remove: [] });
    const directory = createDirectory();
    isHeld = true;
    clock.advance(9000);
    directory.tick();
    clock.advance(10_000);
    directory.tick();
    expect(commands.at(-1)).toMatchObject({ remove: ["a/i1"] });
    expect(exchange(directory, watch("a", 1, ["works", 0, 40]))).toEqual([]);
  });

  // The former leader may have lent all of it to gateways that are silent.
  it("lends nothing at first of a limit that a former leader may have lent", () => {
    setItems(itemsOf(100));
    // Its bound is the total.
    const bounds = new Map([["works", 563]]);
    state = { ...state, borrowers: new Map([["silent/i1", bounds]]) };
    const directory = createDirectory();
    expect(exchange(directory, watch("a", 1, ["works", 0, 40]))).toEqual([]);
  });

  it("lends nothing while it was never confirmed as the leader", () => {
    const directory = createDirectory();
    const sent = watch("a", 1, ["works", 0, 40]);
    directory.recordWatch(sent);
    expect(directory.answerWatch(sent, {})).toEqual({});
  });

  it("ignores gateways of earlier releases, which report nothing", () => {
    const directory = createDirectory();
    const sent = { gateway: "a", quotas: [] } as unknown as Watch;
    directory.recordWatch(sent);
    const own = { confirmedAgeMilliseconds: 0 };
    expect(directory.answerWatch(sent, own)).toEqual(own);
  });

  it("answers gateways at once that others are short of", async () => {
    const directory = createDirectory();
    setItems(itemsOf(100));
    await record(directory, "a");
    await record(directory, "b");
    exchange(directory, watch("a", 2, ["works", 0, 560]));
    woken = [];
    // Its watch is held, so that it has not been told to return anything.
    directory.recordWatch(watch("a", 3, ["works", 570, 10]));
    directory.handleCall({
      gateway: "b",
      report: [2, "i1", 0, 0, ["works", 0, 50]],
    }, 0);
    await new Promise((resolve) => setImmediate(resolve));
    expect(woken).toContain("a");
  });
});
