import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import type { TargetIncarnation, TargetView } from "@kingcupglade/fleet";
import {
  decodeWatch,
  encodeWatchAnswer,
  encodeWatchOwnPart,
  ownFeatures,
  PeerClients,
} from "@kingcupglade/fleet_control";
import type {
  Watch,
  WatchAnswer,
  WatchOwnPart,
} from "@kingcupglade/fleet_control";
import { Fleet } from "@kingcupglade/protocol";
import { ItemKind, ItemsDigest } from "@kingcupglade/items";
import type { StoredItem } from "@kingcupglade/items";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { UnaryServices } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createUpdate } from "./table_update_fixture.ts";
import { TableSynchronizer } from "./table_synchronizer.ts";
import type { ReceivedOwnPart } from "./table_synchronizer.ts";

const secret = "unguarded";
const silentLogger = { debug() {}, info() {}, warn() {}, error() {} };

/** A control VM whose responses the test controls. */
class FakeControl {
  answer: (watch: Watch) => WatchAnswer | Promise<WatchAnswer>;
  /** Part of the responses for the gateway alone; undefined for no bytes. */
  own: WatchOwnPart | undefined;
  /** Time in which the body of an update is sent. */
  bodyMilliseconds = 0;
  /** Whether nothing follows the head of an update. */
  isBodySilent = false;
  readonly #server: Server;
  readonly address: string;

  constructor(address: string, answer: FakeControl["answer"]) {
    this.address = address;
    this.answer = answer;
    const services = new UnaryServices({ secret });
    services.service(Fleet, {
      watch: async (request) => {
        const watch = decodeWatch(request.watch);
        const response = await this.answer(watch);
        const leads = watch.isSearch && response.kind === "news";
        return {
          answer: encodeWatchAnswer(leads ? { kind: "leads" } : response),
          ...(this.own && !leads && { own: encodeWatchOwnPart(this.own) }),
        };
      },
    });
    this.#server = createServer((request, response) => {
      if (this.bodyMilliseconds > 0 || this.isBodySilent) {
        this.#delayBody(response);
      }
      services.handle(request, response);
    });
  }

  async start(): Promise<void> {
    const [host, port] = this.address.split(":");
    await new Promise<void>((resolve) =>
      this.#server.listen(Number(port), host, resolve)
    );
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  // Sends the body of an update in parts, as a narrow link does.
  #delayBody(response: ServerResponse): void {
    const end = response.end.bind(response);
    vi.spyOn(response, "end").mockImplementation((body: Uint8Array) => {
      response.flushHeaders();
      const isUpdate = body.length > maximumLeadsBytes;
      if (isUpdate && this.isBodySilent) return response;
      const parts = isUpdate
        ? Math.ceil(this.bodyMilliseconds / partIntervalMilliseconds)
        : 0;
      const partBytes = Math.floor(body.length / (parts + 1));
      let sent = 0;
      const timer = setInterval(() => {
        if (sent >= parts) {
          clearInterval(timer);
          return end(body.subarray(sent * partBytes));
        }
        response.write(body.subarray(sent * partBytes, ++sent * partBytes));
      }, isUpdate ? partIntervalMilliseconds : 0);
      return response;
    });
  }
}

const partIntervalMilliseconds = 100;
/** A response to a search is not longer. */
const maximumLeadsBytes = 20;

function tableUpdate(
  index: number,
  more: { items?: readonly StoredItem[]; itemsDigest?: number | null } = {},
): WatchAnswer {
  return { kind: "news", delta: createUpdate(index, more) };
}

const neverResponds = (): Promise<WatchAnswer> => new Promise(() => {});

describe("TableSynchronizer", () => {
  const clients = new PeerClients({ secret });
  let controls: FakeControl[];
  let synchronizer: TableSynchronizer;
  let received: ReceivedOwnPart[];
  let takeLeaving: (isNewLeader: boolean) => readonly TargetIncarnation[];

  beforeEach(async () => {
    // A synchronizer of the test before may still get a response.
    const ownParts: ReceivedOwnPart[] = [];
    received = ownParts;
    takeLeaving = () => [];
    controls = [1, 2, 3, 4].map((at) =>
      new FakeControl(`${loopbackPrefix()}.${at}:7390`, neverResponds)
    );
    for (const control of controls) await control.start();
    synchronizer = new TableSynchronizer({
      gateway: { gateway: "g", dataCentre: "a", region: "r", address: "a:1" },
      seeds: controls.map(({ address }) => address),
      isCutOff: () => false,
      takeDemand: () => [],
      takeDurations: () => [],
      takeLimits: () => [],
      takeLeaving: (isNewLeader) => takeLeaving(isNewLeader),
      suspects: () => [],
      onSuspects: () => {},
      clients,
      clock: new MonotonicClock(),
      logger: silentLogger,
      metrics: createMetrics(),
      random: Math.random,
      onChange: () => {},
      takeQuotas: () => [["acme", 1]],
      onOwnPart: (each) => ownParts.push(each),
    });
  });

  afterEach(() => {
    synchronizer.stop();
    for (const control of controls) control.stop();
  });

  async function waitForIndex(index: number): Promise<number> {
    const startedAt = performance.now();
    while (synchronizer.table.position.index < index) {
      if (performance.now() - startedAt > 10_000) throw new Error("timed out");
      await pause(10);
    }
    return performance.now() - startedAt;
  }

  it("finds the leader although the other control VMs do not respond", async () => {
    controls[3]!.answer = () => tableUpdate(1);
    synchronizer.start();
    expect(await waitForIndex(1)).toBeLessThan(400);
  });

  // Failure: each search waited for the VMs that do not respond, so that a gateway
  // learned of a leader up to 0.5 s after its election.
  it("finds a leader that is elected while other VMs do not respond", async () => {
    for (const control of controls.slice(2)) {
      control.answer = () => ({ kind: "elsewhere", leader: null });
    }
    synchronizer.start();
    await pause(100);
    controls[3]!.answer = () => tableUpdate(1);
    expect(await waitForIndex(1)).toBeLessThan(400);
  });

  it("accepts a whole table that the leader takes long to send", async () => {
    controls[3]!.answer = async (watch) => {
      if (!watch.isSearch) await pause(1800);
      return tableUpdate(1);
    };
    synchronizer.start();
    expect(await waitForIndex(1)).toBeLessThan(3000);
  });

  it("finds a leader that is not a seed but is named by one", async () => {
    synchronizer.setSeeds(controls.slice(0, 3).map(({ address }) => address));
    controls[1]!.answer = () => ({
      kind: "elsewhere",
      leader: controls[3]!.address,
    });
    controls[3]!.answer = () => tableUpdate(1);
    synchronizer.start();
    expect(await waitForIndex(1)).toBeLessThan(1000);
  });

  // A confirmed change has to be in force everywhere within two seconds.
  it("leaves a leader that hangs before its first update for another", async () => {
    controls[0]!.answer = (watch) =>
      watch.isSearch ? tableUpdate(1) : neverResponds();
    synchronizer.start();
    await pause(200);
    controls[0]!.answer = neverResponds;
    for (const control of controls.slice(1, 3)) {
      control.answer = () => ({
        kind: "elsewhere",
        leader: controls[3]!.address,
      });
    }
    controls[3]!.answer = () => tableUpdate(2);
    expect(await waitForIndex(2)).toBeLessThan(2000);
  });

  describe("with a first update that does not arrive", () => {
    let requested: number;

    /** Answers searches, and the first updates that `isAnswered` selects. */
    function answerWith(isAnswered: () => boolean): void {
      requested = 0;
      controls[0]!.answer = ({ isSearch, position }) => {
        if (isSearch) return tableUpdate(1);
        if (position.index === 0) requested += 1;
        return isAnswered() ? tableUpdate(1) : neverResponds();
      };
      synchronizer.start();
    }

    // Failure: a gateway whose first request was lost with its connection kept an
    // old table for 5 s, although the leader responded to other calls.
    it("requests it again from the same leader", async () => {
      answerWith(() => requested > 1);
      expect(await waitForIndex(1)).toBeLessThan(2000);
    });

    it("requests it less and less often", async () => {
      answerWith(() => false);
      await pause(4800);
      expect(requested).toBeGreaterThan(1);
      expect(requested).toBeLessThanOrEqual(4);
    });

    it("does not request it again once its response has begun", async () => {
      controls[0]!.bodyMilliseconds = 2500;
      answerWith(() => true);
      expect(await waitForIndex(1)).toBeLessThan(4000);
      expect(requested).toBe(1);
    });

    // Failure: the time limit of the first request ended the wait for a response
    // to the second one that had begun.
    it("awaits a response that has begun, for its own time limit", async () => {
      controls[0]!.bodyMilliseconds = 4200;
      answerWith(() => requested > 1);
      await waitForIndex(1);
      expect(requested).toBe(2);
    });

    // Failure: a connection that fell silent after a response had begun held the
    // gateway at its old table for 5 s.
    it("requests it again when its response does not go on", async () => {
      controls[0]!.isBodySilent = true;
      answerWith(() => {
        controls[0]!.isBodySilent = requested === 1;
        return true;
      });
      // A VM counts as in contact 3 s after its connections were lost.
      expect(await waitForIndex(1)).toBeLessThan(3000);
    });

    // Failure: what a lost request reported was not reported again, as the next
    // one was answered and the leader was not lost.
    it("reports again what a lost request held", async () => {
      const leaving = { target: "t", bornAt: 1 };
      let unreported: readonly TargetIncarnation[] = [leaving];
      takeLeaving = (isNewLeader) => {
        const rows = isNewLeader ? [leaving] : unreported;
        unreported = [];
        return rows;
      };
      const reported: (readonly TargetIncarnation[])[] = [];
      controls[0]!.answer = async (watch) => {
        if (watch.isSearch) return tableUpdate(1);
        reported.push(watch.leaving);
        if (reported.length === 1) {
          unreported = [leaving];
          // Differs from the digest of the table, so that all items are requested.
          return tableUpdate(1, { itemsDigest: 5 });
        }
        if (reported.length === 2) return await neverResponds();
        if (reported.length > 3) await pause(100);
        return tableUpdate(1);
      };
      synchronizer.start();
      await expect.poll(() => reported.length, { timeout: 4000 })
        .toBeGreaterThan(3);
      expect(reported.slice(0, 4)).toEqual([
        [leaving],
        [leaving],
        [leaving],
        [],
      ]);
    });

    // Failure: an update that the leader encoded before another one to the same
    // gateway, and that arrived after it, took targets back to an older state.
    it("does not go back to an older revision", async () => {
      const view = (isCold: boolean): TargetView => ({
        name: "t",
        bornAt: 1,
        service: "s",
        address: "127.0.0.1:1",
        dataCentre: "a",
        slots: 6,
        isLeaving: false,
        isCold,
        coldGateways: [],
        maximumPerSecond: null,
        limitGateways: [],
      });
      const update = (revision: number, isCold: boolean): WatchAnswer => ({
        kind: "news",
        delta: createUpdate(1, {
          position: { index: 1, term: 1, revision, isComplete: true },
          targets: [view(isCold)],
        }),
      });
      let received = 0;
      controls[0]!.answer = async ({ isSearch }) => {
        if (isSearch) return tableUpdate(1);
        received += 1;
        if (received === 1) {
          // Encoded after the second one, and answered first.
          await pause(1700);
          return update(12, false);
        }
        await pause(500);
        return received === 2 ? update(11, true) : {
          kind: "news",
          delta: createUpdate(1, {
            position: { index: 1, term: 1, revision: 12, isComplete: true },
          }),
        };
      };
      synchronizer.start();
      await expect.poll(() => received, { timeout: 5000 }).toBeGreaterThan(3);
      expect(synchronizer.table.target("t")?.isCold).toBe(false);
    });
  });

  describe("with a part of the response for this gateway alone", () => {
    // Guards against a lease that is counted from the response.
    it("passes it on with the time at which the request was sent", async () => {
      const receivedAt: number[] = [];
      let watch: Watch | undefined;
      controls[0]!.own = { confirmedAgeMilliseconds: 7, quotas: [1] };
      controls[0]!.answer = async (request) => {
        if (!request.isSearch) {
          watch ??= request;
          receivedAt.push(performance.now());
          await pause(100);
        }
        return tableUpdate(1);
      };
      synchronizer.start();
      await expect.poll(() => received.length).toBeGreaterThan(0);
      const [{ part, sentAt, isTableCurrent }] = received as [ReceivedOwnPart];
      expect(part).toEqual({ confirmedAgeMilliseconds: 7, quotas: [1] });
      expect(isTableCurrent).toBe(true);
      expect(sentAt).toBeLessThanOrEqual(receivedAt[0]!);
      expect(watch).toMatchObject({
        features: ownFeatures,
        quotas: [["acme", 1]],
      });
    });

    it("tells if the table differs, and reads none as an empty part", async () => {
      controls[0]!.answer = async ({ isSearch }) => {
        if (!isSearch) await pause(50);
        return tableUpdate(5, { itemsDigest: 1234 });
      };
      synchronizer.start();
      await expect.poll(() => received.length).toBeGreaterThan(0);
      expect(received[0]).toMatchObject({ part: {}, isTableCurrent: false });
    });
  });

  describe("of a leader whose update lacks an item", () => {
    const items = ["a", "b"].map((name): StoredItem => ({
      kind: ItemKind.route,
      name,
      version: 3,
      content: null,
      source: "",
      changedAt: 5,
    }));
    const itemsDigest = ItemsDigest.of(items);
    /** Positions from which updates were requested, in order. */
    let requested: number[];

    function answerWith(
      updateFor: (index: number) => readonly StoredItem[],
      digest: number | null,
    ): void {
      requested = [];
      controls[0]!.answer = async ({ position, isSearch }) => {
        if (!isSearch) {
          requested.push(position.index);
          await pause(position.index < 5 ? 0 : 50);
        }
        return tableUpdate(5, {
          items: updateFor(position.index),
          itemsDigest: digest,
        });
      };
      synchronizer.start();
    }

    // Failure: a table that had skipped a route refused its requests with 404
    // until the route changed again.
    it("requests all items again", async () => {
      answerWith(
        (index) => requested.length > 1 && index === 0 ? items : [items[0]!],
        itemsDigest,
      );
      await expect.poll(() => synchronizer.table.itemCount, { timeout: 2000 })
        .toBe(2);
      expect(requested.slice(0, 2)).toEqual([0, 0]);
      await expect.poll(() => requested.length).toBeGreaterThan(4);
      expect(requested.slice(2, 4)).toEqual([5, 5]);
    });

    it("requests whole tables less and less often", async () => {
      answerWith(() => [items[0]!], itemsDigest);
      const whole = () => requested.filter((index) => index === 0).length;
      await pause(900);
      // At the start, at once, and after the first interval of 500 ms.
      expect(whole()).toBeLessThanOrEqual(3);
      await pause(2000);
      expect(whole()).toBeLessThanOrEqual(5);
      expect(requested.length).toBeGreaterThan(20);
    });

    it("trusts a leader that sends no digest", async () => {
      answerWith(() => [items[0]!], null);
      await expect.poll(() => requested.length).toBeGreaterThan(4);
      expect(requested.filter((index) => index === 0)).toHaveLength(1);
    });
  });

  it("finds another leader within two seconds after one is lost", async () => {
    controls[0]!.answer = async () => {
      await pause(100);
      return tableUpdate(1);
    };
    synchronizer.start();
    await waitForIndex(1);
    controls[0]!.answer = neverResponds;
    controls[1]!.answer = neverResponds;
    controls[2]!.answer = () => ({
      kind: "elsewhere",
      leader: controls[0]!.address,
    });
    controls[3]!.answer = () => tableUpdate(2);
    expect(await waitForIndex(2)).toBeLessThan(2000);
  });
});
