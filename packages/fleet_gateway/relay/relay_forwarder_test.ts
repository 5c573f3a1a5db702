import type { Socket } from "node:net";
import { RequestKind } from "@kingcupglade/items";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  answerFor,
  ForwardingFixture,
  RawServer,
  responseText,
} from "../requests/forwarding_fixture.ts";
import type {
  ForwardedRequest,
  Received,
} from "../requests/forwarding_fixture.ts";
import { RelayForwarder } from "./relay_forwarder.ts";
import type { ForwardingProgress } from "./relay_forwarder.ts";
import {
  decodeRelayRequest,
  encodeRelayReply,
  RelayDecision,
  relayHeader,
} from "./relay_message.ts";

const secret = "unguarded";
const nothing: ForwardingProgress = { arrived: [], mayHaveRun: false };

describe("a request that other gateways take", () => {
  const gateways: RawServer[] = [];
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    for (let count = 0; count < 2; count += 1) {
      const gateway = new RawServer();
      await gateway.start();
      gateways.push(gateway);
    }
    fixture = new ForwardingFixture(gateways);
  });

  afterEach(() => {
    fixture.connections.close();
    for (const gateway of gateways.splice(0)) gateway.stop();
  });

  function relay(
    request: ForwardedRequest,
    progress = nothing,
  ): Promise<Received> {
    return new Promise((resolve) =>
      new RelayForwarder({
        context: {
          ...fixture.context(),
          name: "gateway-1",
          secret,
          table: () => ({ routeVersion: () => 1, target: () => undefined }),
          relayConnections: fixture.connections,
          relays: {
            next: ({ excluded }: { readonly excluded: ReadonlySet<string> }) =>
              gateways.map(({ address }, at) => ({ name: `g${at}`, address }))
                .find(({ name }) => !excluded.has(name)),
            begin: () => {},
            end: () => {},
          },
        } as never,
        routed: fixture.routed(request) as never,
        answer: answerFor(resolve) as never,
        progress,
      }).start()
    );
  }

  /** The response of a gateway to the relayed request of a text. */
  function reply(
    text: string,
    response: {
      readonly status: number;
      readonly decision: RelayDecision;
      readonly body: string;
    },
  ): string {
    const header = new RegExp(`${relayHeader}: (\\S+)`, "i").exec(text)?.[1];
    const { id } = decodeRelayRequest(header, secret);
    const { status, decision, body } = response;
    const line = encodeRelayReply({ id, decision, target: "" });
    return responseText(status, `${relayHeader}: ${line}\r\n`, body);
  }

  const refuse = (decision: RelayDecision) => (socket: Socket, text: string) =>
    socket.write(reply(text, { status: 503, decision, body: "refused" }));
  const lose = (socket: Socket) => socket.resetAndDestroy();

  // Guards against work that runs twice after its response was lost.
  it("goes to no second one if its response was lost and it may run only once", async () => {
    gateways[0]!.respond = lose;
    gateways[1]!.respond = refuse(RelayDecision.taken);
    expect((await relay({ requestId: "r1" })).status).toBe(502);
    expect(gateways[1]!.receivedCount).toBe(0);
  });

  it("goes to a second one if the first sent it nowhere", async () => {
    gateways[0]!.respond = refuse(RelayDecision.unable);
    gateways[1]!.respond = (socket, text) => {
      const decision = RelayDecision.taken;
      socket.write(reply(text, { status: 200, decision, body: "done" }));
    };
    const received = await relay({ requestId: "r1" });
    expect(received).toEqual({ status: 200, body: "done" });
  });

  // Guards against the promise "not run" of a gateway that knows nothing of the
  // response that was lost at another one, or at a target.
  it("is not refused as not run after a response was lost", async () => {
    const request = { requestId: "r1", requests: RequestKind.idempotent };
    for (const decision of Object.values(RelayDecision)) {
      gateways[0]!.respond = lose;
      gateways[1]!.respond = refuse(decision);
      expect((await relay(request)).status).toBe(502);
      gateways[0]!.respond = refuse(decision);
      const progress = { arrived: ["t1"], mayHaveRun: true };
      expect((await relay(request, progress)).status).toBe(502);
    }
  });

  // Guards against a second copy of a response, on a connection in use again.
  it("gets no response to the request before it", async () => {
    gateways.splice(1).forEach((gateway) => gateway.stop());
    let previous = "";
    gateways[0]!.respond = (socket, text) => {
      const path = text.split(" ")[1] ?? "";
      const decision = RelayDecision.taken;
      const own = reply(text, { status: 200, decision, body: path });
      socket.write(previous + own);
      previous = own;
    };
    expect((await relay({ requestId: "r1", path: "/first" })).body)
      .toBe("/first");
    const second = await relay({ requestId: "r2", path: "/second" });
    expect(second).toEqual({ status: 502, body: "" });
  });
});

describe("a request of a gateway that is cut off", () => {
  let target: RawServer;
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    target = new RawServer();
    await target.start();
    fixture = new ForwardingFixture([target]);
  });

  afterEach(() => {
    fixture.connections.close();
    target.stop();
  });

  async function cutOffAtTarget(requests: RequestKind): Promise<Received> {
    const arrived = new Promise<void>((resolve) => {
      target.respond = () => resolve();
    });
    const received = fixture.forward({
      requestId: "r1",
      requests,
      // One that may run only once is waited for.
      ...(requests === RequestKind.once && { deadlineMilliseconds: 900 }),
    });
    await arrived;
    fixture.cutOff();
    return await received;
  }

  // Guards against a request that two gateways send.
  it("is handed over only if it may run again", async () => {
    expect((await cutOffAtTarget(RequestKind.once)).status).toBe(504);
    expect(fixture.handedOver).toEqual([]);
    expect((await cutOffAtTarget(RequestKind.idempotent)).status).toBe(0);
    expect(fixture.handedOver).toEqual([{ arrived: ["t0"], mayHaveRun: true }]);
  });
});
