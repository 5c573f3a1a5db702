import { RequestKind } from "@kingcupglade/items";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  ForwardingFixture,
  RawServer,
  responseText,
} from "./forwarding_fixture.ts";

describe("a request whose response is overdue", () => {
  const targets: RawServer[] = [];
  let gateway: ForwardingFixture;

  beforeEach(async () => {
    for (let count = 0; count < 3; count += 1) {
      const target = new RawServer();
      await target.start();
      targets.push(target);
    }
    const [, resetting, sound] = targets;
    resetting!.respond = (socket) => socket.resetAndDestroy();
    sound!.respond = (socket) =>
      socket.write(responseText(200, "request: r1\r\n", "done"));
    gateway = new ForwardingFixture(targets);
  });

  afterEach(() => {
    gateway.connections.close();
    for (const target of targets.splice(0)) target.stop();
  });

  // Guards against a request that waits for a silent target until its deadline,
  // as its hedge went to a faulty one.
  it("goes to a third target if the second one fails", async () => {
    const received = await gateway.forward({
      requestId: "r1",
      requests: RequestKind.idempotent,
      maximumTargets: 3,
      deadlineMilliseconds: 10_000,
    });
    expect(received).toEqual({ status: 200, body: "done" });
  });

  it("goes to no more targets than its route allows", async () => {
    const { status } = await gateway.forward({
      requestId: "r1",
      requests: RequestKind.idempotent,
      deadlineMilliseconds: 2000,
    });
    expect(status).toBe(504);
    expect(targets.map(({ receivedCount }) => receivedCount)).toEqual([
      1,
      1,
      0,
    ]);
  });

  it("goes nowhere else if it may run only once", async () => {
    const { status } = await gateway.forward({
      requestId: "r1",
      maximumTargets: 3,
      deadlineMilliseconds: 2000,
    });
    expect(status).toBe(504);
    expect(targets.map(({ receivedCount }) => receivedCount)).toEqual([
      1,
      0,
      0,
    ]);
  });
});
