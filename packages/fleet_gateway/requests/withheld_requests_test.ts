import { RequestKind } from "@kingcupglade/items";
import { KeyFault } from "@kingcupglade/workspaces";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  answerFor,
  ForwardingFixture,
  noKeys,
  RawServer,
  responseText,
} from "./forwarding_fixture.ts";
import type { Received } from "./forwarding_fixture.ts";
import { RelayForwarder } from "../relay/relay_forwarder.ts";
import { RequestForwarder } from "./request_forwarder.ts";

const workspace = { name: "acme", keyDigest: "a".repeat(64) };

/** Keys whose check before a send gives one result after the other. */
class ScriptedKeys {
  readonly areKeysRequired = true;
  /** Results of the checks; the last one is repeated. */
  results: (KeyFault | undefined)[] = [undefined];
  refused: KeyFault[] = [];

  recheck(): KeyFault | undefined {
    return this.results.length > 1 ? this.results.shift() : this.results[0];
  }

  refuse(fault: KeyFault): { readonly status: number } {
    this.refused.push(fault);
    return { status: fault === KeyFault.unknownKey ? 401 : 503 };
  }
}

describe("a request whose key is checked again before it is sent", () => {
  const targets: RawServer[] = [];
  let fixture: ForwardingFixture;
  let keys: ScriptedKeys;

  beforeEach(async () => {
    keys = new ScriptedKeys();
    for (let count = 0; count < 2; count += 1) {
      const target = new RawServer();
      target.respond = (socket) =>
        socket.write(responseText(200, "request: r1\r\n", "done"));
      await target.start();
      targets.push(target);
    }
    fixture = new ForwardingFixture(targets);
  });

  afterEach(() => {
    fixture.connections.close();
    for (const target of targets.splice(0)) target.stop();
  });

  function context() {
    const base = fixture.context();
    const wire = base["wire"] as object;
    return {
      ...base,
      keys: { ...noKeys, ...keyMethods() },
      wire: { ...wire, guardedHeaders: new Set(["authorization"]) },
    };
  }

  function keyMethods() {
    return {
      areKeysRequired: true,
      recheck: () => keys.recheck(),
      refuse: (fault: KeyFault) => keys.refuse(fault),
    };
  }

  function routed(requests: RequestKind = RequestKind.idempotent) {
    const base = fixture.routed({ requestId: "r1", requests });
    const request = {
      headers: { authorization: "Bearer key", other: "kept" },
      method: "GET",
      url: "/",
    };
    return { ...base, request, workspace };
  }

  function forward(requests?: RequestKind): Promise<Received> {
    return new Promise((resolve) =>
      new RequestForwarder({
        context: context() as never,
        routed: routed(requests) as never,
        answer: answerFor(resolve) as never,
        handOver: () => {},
      }).start()
    );
  }

  const receivedCount = () =>
    targets.reduce((sum, each) => sum + each.receivedCount, 0);

  it("is sent while the key is accepted, without its credentials", async () => {
    let text = "";
    targets[0]!.respond = (socket, received) => {
      text = received;
      socket.write(responseText(200, "request: r1\r\n", "done"));
    };
    expect(await forward()).toEqual({ status: 200, body: "done" });
    expect(text).toMatch(/other: kept/);
    expect(text).not.toMatch(/authorization|Bearer/i);
  });

  // Guards against a request that waited for a slot, or in a frozen process,
  // while its key was revoked.
  it("is refused, and sent nowhere, if the key was revoked before", async () => {
    keys.results = [KeyFault.unknownKey];
    expect((await forward()).status).toBe(401);
    expect(keys.refused).toEqual([KeyFault.unknownKey]);
    expect(receivedCount()).toBe(0);
  });

  it("is refused if the lease ends while its connection is opened", async () => {
    keys.results = [undefined, KeyFault.noLease];
    expect((await forward()).status).toBe(503);
    expect(keys.refused).toEqual([KeyFault.noLease]);
    expect(receivedCount()).toBe(0);
  });

  it("is sent if the lease is renewed in that moment", async () => {
    keys.results = [undefined, KeyFault.noLease, undefined];
    expect(await forward()).toEqual({ status: 200, body: "done" });
    expect(receivedCount()).toBe(1);
  });

  // Guards against a 401 or 503 for a request that may have run.
  it("is not called unsent if its first attempt was lost", async () => {
    targets[0]!.respond = (socket) => socket.resetAndDestroy();
    // The checks of the first attempt pass, that of the second does not.
    keys.results = [undefined, undefined, KeyFault.unknownKey];
    expect((await forward()).status).toBe(502);
    expect(targets[1]!.receivedCount).toBe(0);
  });

  it("does not count against the target", async () => {
    const ends: unknown[] = [];
    const base = context();
    const selector = base["selector" as never] as Record<string, unknown>;
    const record = {
      expectedDuration: () => 1,
      begin() {},
      end: (end: unknown) => ends.push(end),
    };
    const select = () => ({
      kind: "found",
      target: { name: "t0", address: targets[0]!.address },
      record,
    });
    keys.results = [undefined, KeyFault.noLease];
    await new Promise<Received>((resolve) =>
      new RequestForwarder({
        context: {
          ...base,
          selector: { ...selector, select },
        } as never,
        routed: routed() as never,
        answer: answerFor(resolve) as never,
        handOver: () => {},
      }).start()
    );
    expect(ends).toEqual(["abandoned"]);
  });

  it("is not relayed either", async () => {
    for (
      const results of [
        [KeyFault.noLease],
        [undefined, KeyFault.noLease],
      ]
    ) {
      keys.results = [...results];
      const usable: boolean[] = [];
      const received = await new Promise<Received>((resolve) =>
        new RelayForwarder({
          context: {
            ...context(),
            name: "gateway-1",
            secret: "s",
            table: () => ({ routeVersion: () => 1 }),
            relayConnections: fixture.connections,
            relays: {
              next: () => ({ name: "g0", address: targets[0]!.address }),
              begin: () => {},
              end: (_gateway: unknown, isUsable: boolean) =>
                usable.push(isUsable),
            },
          } as never,
          routed: routed() as never,
          answer: answerFor(resolve) as never,
          progress: { arrived: [], mayHaveRun: false },
        }).start()
      );
      expect(received.status).toBe(503);
      expect(receivedCount()).toBe(0);
      expect(usable).toEqual(results.length === 1 ? [] : [true]);
    }
  });
});
