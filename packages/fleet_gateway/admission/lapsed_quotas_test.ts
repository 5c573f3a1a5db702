import { RequestKind } from "@kingcupglade/items";
import { GatewayQuotas, leaseMilliseconds } from "@kingcupglade/quotas";
import type { QuotaUse } from "@kingcupglade/quotas";
import { ManualClock } from "@kingcupglade/tasks";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  answerFor,
  ForwardingFixture,
  RawServer,
  responseText,
} from "../requests/forwarding_fixture.ts";
import type { Received } from "../requests/forwarding_fixture.ts";
import { RequestForwarder } from "../requests/request_forwarder.ts";

const windowMilliseconds = 5000;

describe("a request that counts against a limit", () => {
  const targets: RawServer[] = [];
  let fixture: ForwardingFixture;
  let clock: ManualClock;
  let quotas: GatewayQuotas;
  let use: QuotaUse;

  beforeEach(async () => {
    for (let count = 0; count < 2; count += 1) {
      const target = new RawServer();
      target.respond = (socket) =>
        socket.write(responseText(200, "request: r1\r\n", "done"));
      await target.start();
      targets.push(target);
    }
    fixture = new ForwardingFixture(targets);
    clock = new ManualClock(1000);
    quotas = new GatewayQuotas({
      incarnation: "i1",
      windowMilliseconds,
      clock,
      elapsedClock: clock,
    });
    lend();
    use = quotas.take("works")!;
  });

  afterEach(() => {
    fixture.connections.close();
    for (const target of targets.splice(0)) target.stop();
  });

  function lend(): void {
    quotas.apply({
      term: 1,
      number: quotas.report(true).number,
      confirmedAgeMilliseconds: 0,
      needsWhole: false,
      rows: [["works", 1]],
    });
  }

  function forward(): Promise<Received> {
    const routed = fixture.routed({
      requestId: "r1",
      requests: RequestKind.idempotent,
    });
    return new Promise((resolve) =>
      new RequestForwarder({
        context: {
          ...fixture.context(),
          quotas: { refuseUnleased: () => ({ status: 503, reason: "lease" }) },
        } as never,
        routed: { ...routed, quota: use } as never,
        answer: answerFor(resolve) as never,
        handOver: () => {},
      }).start()
    );
  }

  const receivedCount = () =>
    targets.reduce((sum, each) => sum + each.receivedCount, 0);

  it("counts for a window from when it was sent", async () => {
    clock.advance(3000);
    expect((await forward()).status).toBe(200);
    use.release();
    clock.advance(windowMilliseconds - 1);
    lend();
    expect(quotas.take("works")).toBeUndefined();
    clock.advance(200);
    expect(quotas.take("works")).toBeDefined();
  });

  // The leader may have lent the allowance to another gateway.
  it("is sent nowhere if the lease has ended since it was admitted", async () => {
    clock.advance(leaseMilliseconds);
    expect((await forward()).status).toBe(503);
    expect(receivedCount()).toBe(0);
  });

  it("counts once if it is sent to a second target", async () => {
    targets[0]!.respond = (socket) => socket.resetAndDestroy();
    expect((await forward()).status).toBe(200);
    expect(receivedCount()).toBe(2);
    expect(quotas.state("works").count).toBe(1);
  });
});
