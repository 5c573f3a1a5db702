import { createServer } from "node:http";
import type { Server } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import {
  decodeWatch,
  encodeWatchAnswer,
  PeerClients,
} from "@kingcupglade/fleet_control";
import type { Watch, WatchAnswer } from "@kingcupglade/fleet_control";
import type { TargetView, ViewDelta, ViewPosition } from "@kingcupglade/fleet";
import { Fleet } from "@kingcupglade/protocol";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { UnaryServices } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { emptyPosition, GatewayTable } from "./gateway_table.ts";
import { createUpdate } from "./table_update_fixture.ts";
import { TableSynchronizer } from "./table_synchronizer.ts";

const secret = "unguarded";
/** Time for which the control VMs hold a watch request. */
const heldMilliseconds = 50;

const target: TargetView = {
  name: "t",
  bornAt: 1,
  service: "s",
  address: "127.0.0.1:1",
  dataCentre: "a",
  slots: 6,
  isLeaving: false,
  isCold: false,
  coldGateways: [],
  maximumPerSecond: null,
  limitGateways: [],
};

type Answer = (watch: Watch) => ViewDelta | null;

/** Starts a control VM that leads while `answer` returns an update. */
async function startControl(address: string, answer: Answer): Promise<Server> {
  const services = new UnaryServices({ secret });
  services.service(Fleet, {
    watch: async (request) => {
      const watch = decodeWatch(request.watch);
      if (!watch.isSearch) await pause(heldMilliseconds);
      const delta = answer(watch);
      const response: WatchAnswer = delta === null
        ? { kind: "elsewhere", leader: null }
        : watch.isSearch
        ? { kind: "leads" }
        : { kind: "news", delta };
      return { answer: encodeWatchAnswer(response) };
    },
  });
  const server = createServer((request, response) =>
    services.handle(request, response)
  );
  const [host, port] = address.split(":");
  await new Promise<void>((resolve) =>
    server.listen(Number(port), host, resolve)
  );
  return server;
}

describe("the check of an update against the table", () => {
  let answers: [Answer, Answer];
  let servers: Server[];
  let lines: { readonly event: string; readonly reason?: string }[];
  let synchronizer: TableSynchronizer;

  beforeEach(async () => {
    answers = [() => null, () => null];
    const addresses = [1, 2].map((at) => `${loopbackPrefix()}.${at}:7390`);
    servers = await Promise.all(
      addresses.map((address, at) =>
        startControl(address, (watch) => answers[at]!(watch))
      ),
    );
    const events: typeof lines = [];
    lines = events;
    const log = (event: string, fields?: object) =>
      void events.push({ event, ...fields });
    synchronizer = new TableSynchronizer({
      gateway: { gateway: "g", dataCentre: "a", region: "r", address: "a:1" },
      seeds: addresses,
      isCutOff: () => false,
      takeDemand: () => [],
      takeDurations: () => [],
      takeLimits: () => [],
      takeLeaving: () => [],
      suspects: () => [],
      onSuspects: () => {},
      clients: new PeerClients({ secret }),
      clock: new MonotonicClock(),
      logger: { debug: log, info: log, warn: log, error: log },
      metrics: createMetrics(),
      random: Math.random,
      onChange: () => {},
    });
  });

  afterEach(() => {
    synchronizer.stop();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
  });

  function count(event: string): number {
    return lines.filter((line) => line.event === event).length;
  }

  describe("of a leader that was replaced", () => {
    beforeEach(async () => {
      const position = { index: 9, term: 2, revision: 1, isComplete: true };
      answers[0] = () => createUpdate(9, { position });
      synchronizer.start();
      await expect.poll(() => synchronizer.table.position.index).toBe(9);
      answers = [() => null, () => createUpdate(8)];
    });

    // Failure: its updates changed nothing and counted as contact, so that an old
    // table was taken for a current one.
    it("does not count as contact", async () => {
      await pause(1000);
      expect(synchronizer.contactAge).toBeGreaterThan(700);
      expect(synchronizer.table.position).toMatchObject({ index: 9, term: 2 });
    });

    it("is logged once", async () => {
      await expect.poll(() => count("update-outdated"), { timeout: 3000 })
        .toBe(1);
      await pause(1500);
      expect(count("update-outdated")).toBe(1);
    });

    it("is asked less and less often", async () => {
      await pause(2000);
      expect(count("first-update-failed")).toBeLessThan(10);
    });

    it("is left for the leader that follows", async () => {
      await pause(500);
      answers[0] = () => createUpdate(10);
      await expect.poll(() => synchronizer.table.position.index, {
        timeout: 3000,
      }).toBe(10);
    });
  });

  // Failure: a gateway that had missed a departure sent requests to the target
  // until it ended, and took its table for a current one.
  describe("of a leader whose update leaves out a departure", () => {
    let hasLeft: boolean;
    let requested: ViewPosition[];

    beforeEach(async () => {
      hasLeft = false;
      requested = [];
      answers[0] = ({ position, isSearch }) => {
        if (!isSearch) requested.push(position);
        const whole = createUpdate(hasLeft ? 10 : 9, {
          targets: [{ ...target, isLeaving: hasLeft }],
          areTargetsComplete: true,
        });
        const table = new GatewayTable();
        table.apply(whole);
        const isWhole = position.term === 0;
        return {
          ...whole,
          ...(!isWhole && { targets: [], areTargetsComplete: false }),
          tableDigest: table.digest,
        };
      };
      synchronizer.start();
      await expect.poll(() => requested.length).toBeGreaterThan(2);
      hasLeft = true;
    });

    it("leads to a request for the whole table", async () => {
      await expect.poll(
        () => synchronizer.table.target("t")?.isLeaving,
        { timeout: 2000 },
      ).toBe(true);
      expect(count("table-differs")).toBe(1);
      const whole = requested.filter(({ term }) => term === 0);
      expect(whole).toEqual([emptyPosition, emptyPosition]);
    });
  });
});
