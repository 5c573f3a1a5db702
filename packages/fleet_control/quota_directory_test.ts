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
  let state: { items: StoredItems };
  let woken: string[];

  beforeEach(() => {
    clock = new ManualClock();
    state = { items: new Map() };
    woken = [];
  });

  function createDirectory(): QuotaDirectory {
    return new QuotaDirectory({
      replica: { state } as never,
      clock,
      logger: logger as never,
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
    return unpackAnswer(
      directory.answerWatch(sent, { confirmedAgeMilliseconds: 0 }).quotas,
    )?.rows;
  }

  it("lends the limit of a workspace that was added in its term", () => {
    const directory = createDirectory();
    state.items = itemsOf(100);
    const rows = exchange(directory, watch("a", 1, ["works", 0, 40]));
    expect(rows).toEqual([["works", 281]]);
  });

  // The former leader may have lent all of it to gateways that are silent.
  it("lends nothing at first of a limit that a former leader may have lent", () => {
    state.items = itemsOf(100);
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
    state.items = itemsOf(100);
    exchange(directory, watch("a", 1, ["works", 0, 560]));
    // Its watch is held, so that it has not been told to return anything.
    directory.recordWatch(watch("a", 2, ["works", 570, 10]));
    directory.handleCall({
      gateway: "b",
      report: [1, "i1", 0, 1, ["works", 0, 50]],
    }, 0);
    await new Promise((resolve) => setImmediate(resolve));
    expect(woken).toContain("a");
  });
});
