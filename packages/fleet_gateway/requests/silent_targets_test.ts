import { setTimeout as pause } from "node:timers/promises";
import { SilenceableProxy } from "@kingcupglade/fakes";
import { RequestKind } from "@kingcupglade/items";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  ForwardingFixture,
  RawServer,
  responseText,
} from "./forwarding_fixture.ts";
import type { Received } from "./forwarding_fixture.ts";

const deadlineMilliseconds = 400;

describe("a target whose connections fall silent", () => {
  const target = new RawServer();
  let proxy: SilenceableProxy;
  let fixture: ForwardingFixture;
  /** Connections that were opened. */
  let opened: number;
  /** Requests that the target does not answer. */
  const unanswered = new Set<string>();

  beforeEach(async () => {
    opened = 0;
    unanswered.clear();
    target.respond = (socket, text) => {
      const id = /^POST \/(\w+)/.exec(text)?.[1] ?? "";
      if (unanswered.has(id)) return;
      setTimeout(
        () => socket.write(responseText(200, `request: ${id}\r\n`, "done")),
        20,
      );
    };
    await target.start();
    proxy = new SilenceableProxy(target.address);
    const address = await proxy.listen("127.0.0.1");
    fixture = new ForwardingFixture([{ address } as RawServer], {
      onConnected: () => opened += 1,
    });
  });

  afterEach(() => {
    fixture.connections.close();
    proxy.close();
    target.stop();
  });

  const send = (requestId: string): Promise<Received> =>
    fixture.forward({
      requestId,
      path: `/${requestId}`,
      requests: RequestKind.idempotent,
      maximumTargets: 1,
      deadlineMilliseconds,
    });

  // Failure: each connection that was open before cost one more request.
  it("costs the requests of one time limit", async () => {
    await Promise.all(["a", "b", "c"].map(send));
    expect(opened).toBe(3);
    proxy.silenceOpenConnections();
    expect((await send("d")).status).toBe(504);
    expect((await send("e")).status).toBe(200);
    expect((await send("f")).status).toBe(200);
    expect(opened).toBe(4);
  });

  it("keeps its connections if it answers on others meanwhile", async () => {
    await Promise.all(["a", "b", "c"].map(send));
    unanswered.add("d");
    const late = send("d");
    await pause(50);
    expect((await send("e")).status).toBe(200);
    expect((await late).status).toBe(504);
    await Promise.all(["f", "g"].map(send));
    expect(opened).toBe(3);
  });
});
