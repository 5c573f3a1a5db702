import type { Workspace } from "@kingcupglade/items";
import { unpackReport } from "@kingcupglade/quotas";
import type { QuotaCall, QuotaReply } from "@kingcupglade/quotas";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { beforeEach, describe, expect, it } from "vitest";
import { QuotaGate } from "./quota_gate.ts";

const request = { requestId: "r1", workspace: "works" };

describe("QuotaGate", () => {
  let ratePerSecond: number;
  let allowance: number | null;
  let calls: QuotaCall[];
  let logged: (readonly [event: string, fields: object])[];
  let gate: QuotaGate;

  beforeEach(() => {
    ratePerSecond = 10;
    allowance = 2;
    calls = [];
    logged = [];
    const clock = new MonotonicClock();
    gate = new QuotaGate({
      name: "front-1",
      windowMilliseconds: 5000,
      table: () => ({
        keys: {
          hasLimits: ratePerSecond > 0,
          workspaceNamed: () => ({ ratePerSecond }) as Workspace,
        },
        workspaceVersion: () => 7,
      }),
      call: (call) => answer(call),
      clock,
      elapsedClock: clock,
      logger: {
        info: (event: string, fields: object) => logged.push([event, fields]),
      } as never,
      metrics: createMetrics(),
    });
  });

  function answer(call: QuotaCall): Promise<QuotaReply> {
    calls.push(call);
    if (allowance === null) return Promise.reject(new Error("no leader"));
    const { number } = unpackReport(call.report)!;
    return Promise.resolve({
      answer: [1, number, 0, 0, ["works", allowance]],
    });
  }

  it("asks the leader for the first request, and admits it", async () => {
    const admission = await gate.admit(request);
    expect(admission).toMatchObject({ kind: "accepted" });
    expect(calls).toHaveLength(1);
  });

  it("does not count requests of workspaces without a limit", async () => {
    ratePerSecond = 0;
    expect(await gate.admit(request)).toEqual({ kind: "accepted" });
    expect(calls).toHaveLength(0);
  });

  // An operator has to find the cause of a 429 from the request's ID.
  it("answers 429 over the limit, and logs what it decided by", async () => {
    for (let at = 0; at < 2; at += 1) {
      const admission = await gate.admit(request);
      if (admission.kind === "accepted") admission.use?.send();
    }
    const admission = await gate.admit(request);
    if (admission.kind !== "refused") throw new Error("not refused");
    const { response } = admission;
    expect(response.status).toBe(429);
    expect(response.retryAfterMilliseconds).toBeGreaterThan(4000);
    expect(logged).toEqual([[
      "quota-rejected",
      expect.objectContaining({
        request: "r1",
        workspace: "works",
        version: 7,
        allowance: 2,
        count: 2,
        leaseAgeMilliseconds: expect.any(Number),
      }),
    ]]);
  });

  it("answers 503 after 250 ms if the leader cannot be asked", async () => {
    allowance = null;
    const startedAt = performance.now();
    const admission = await gate.admit(request);
    expect(admission).toMatchObject({
      kind: "refused",
      response: { status: 503 },
    });
    expect(performance.now() - startedAt).toBeLessThan(450);
    expect(logged.map(([event]) => event)).toContain("quota-call-failed");
  });

  // Sites without limits pay for no message about them.
  it("reports nothing while no workspace has a limit", () => {
    ratePerSecond = 0;
    expect(gate.takeReport(true)).toEqual([]);
    ratePerSecond = 10;
    expect(unpackReport(gate.takeReport(false))).toMatchObject({
      isWhole: true,
    });
  });

  it("lets a relayed request be sent until the lease of its gateway ends", () => {
    expect(gate.relayedUse(1000).send()).toBe(true);
    expect(gate.relayedUse(0).send()).toBe(false);
  });
});
