import { setMaxListeners } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { Fleet } from "@kingcupglade/protocol";
import { HttpListener, UnaryServices } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  forwardingConnections,
  GatewayCalls,
  maximumForwardedCalls,
} from "./gateway_calls.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import { PeerClients } from "./peer_clients.ts";
import { decodeWatchAnswer } from "./watch_codec.ts";

const secret = "unguarded";
const leaderAddress = `${loopbackPrefix()}.1:7390`;
const ownAddress = `${loopbackPrefix()}.2:7390`;
const redirect = { kind: "elsewhere", leader: leaderAddress } as const;
const searchWatch = packValue({ gateway: "g", isSearch: true, demand: [] });
const heldWatch = packValue({ gateway: "g", isSearch: false, demand: [] });
const response = {
  answer: packValue({ kind: "leads" }),
  own: new Uint8Array([1, 2]),
};
const reply = packValue({ kind: "granted" });

type Forwarded = { readonly forward: boolean };

describe("calls of gateways at a VM that does not lead", () => {
  const logger = { debug() {}, info() {}, warn: vi.fn(), error() {} };
  /** Calls that the leader received. */
  let received: Forwarded[];
  let isSilent: boolean;
  let server: Server;
  let clients: PeerClients;
  let calls: GatewayCalls;
  let leadership: {
    watchedSession: undefined;
    session: undefined;
    isLeading: false;
    redirect: typeof redirect;
    leaderAddress: string | null;
  };

  beforeEach(async () => {
    received = [];
    isSilent = false;
    logger.warn.mockClear();
    const answerWith = <Response>(answer: Response) => (call: Forwarded) => {
      received.push(call);
      return isSilent
        ? new Promise<Response>(() => {})
        : Promise.resolve(answer);
    };
    const services = new UnaryServices({ secret });
    services.service(Fleet, {
      watch: answerWith(response),
      suspect: answerWith({ reply }),
      quota: answerWith({ reply }),
    });
    server = createServer((request, response) => {
      services.handle(request, response);
    });
    const [host, port] = leaderAddress.split(":");
    await new Promise<void>((resolve) =>
      server.listen(Number(port), host, resolve)
    );
    clients = new PeerClients({ secret, connections: forwardingConnections });
    leadership = {
      watchedSession: undefined,
      session: undefined,
      isLeading: false,
      redirect,
      leaderAddress,
    };
    calls = new GatewayCalls(
      { peerAddress: ownAddress, clients, logger },
      leadership,
    );
  });

  afterEach(() => {
    clients.close();
    server.close();
    server.closeAllConnections();
  });

  async function watch(call: Uint8Array, forward = true) {
    const { answer, own } = await calls.watch(
      { call, forward },
      keptConnection(),
    );
    return { answer: decodeWatchAnswer(answer), own };
  }

  /** Has watches take all their places, and the leader respond to others. */
  async function holdWatches() {
    isSilent = true;
    const held = Array.from(
      { length: maximumForwardedCalls },
      () => watch(heldWatch),
    );
    await expect.poll(() => received.length).toBe(maximumForwardedCalls);
    isSilent = false;
    return held;
  }

  describe("that ask for it", () => {
    it("are forwarded, and the response is returned as it is", async () => {
      for (const call of [searchWatch, heldWatch]) {
        const { answer, own } = await watch(call);
        expect(answer).toEqual({ kind: "leads" });
        expect([...own]).toEqual([...response.own]);
      }
      const call = packValue({});
      const suspect = await calls.suspect({ call, forward: true });
      expect(unpackValue(suspect.reply)).toEqual({ kind: "granted" });
      const quota = await calls.quota({ call, forward: true });
      expect(unpackValue(quota.reply)).toEqual({ kind: "granted" });
    });

    // Guards against calls that go round between VMs that take each other for
    // the leader.
    it("are forwarded once", async () => {
      const call = packValue({});
      await calls.watch({ call: searchWatch, forward: true }, keptConnection());
      await calls.suspect({ call, forward: true });
      await calls.quota({ call, forward: true });
      expect(received.map(({ forward }) => forward))
        .toEqual([false, false, false]);
    });

    it("name the leader soon if it does not respond to a search", async () => {
      isSilent = true;
      const startedAt = performance.now();
      expect((await watch(searchWatch)).answer).toEqual(redirect);
      expect(performance.now() - startedAt).toBeLessThan(450);
      expect(logger.warn).toHaveBeenCalledWith(
        "call-not-forwarded",
        expect.objectContaining({ leader: leaderAddress }),
      );
    });

    // Guards against gateways that wait for a leader that has been replaced.
    it("end when another VM becomes the leader", async () => {
      isSilent = true;
      const answered = watch(heldWatch);
      await expect.poll(() => received.length).toBe(1);
      calls.handleLeaderChange();
      expect((await answered).answer).toEqual(redirect);
      isSilent = false;
      expect((await watch(heldWatch)).answer).toEqual({ kind: "leads" });
    });

    it("end when this VM stops", async () => {
      isSilent = true;
      const answered = watch(heldWatch);
      await expect.poll(() => received.length).toBe(1);
      calls.end();
      expect((await answered).answer).toEqual(redirect);
      expect((await watch(heldWatch)).answer).toEqual(redirect);
      expect(received).toHaveLength(1);
    });

    it("are not forwarded beyond a number at the same time", async () => {
      isSilent = true;
      const held = Array.from(
        { length: maximumForwardedCalls },
        () => watch(heldWatch),
      );
      await expect.poll(() => received.length).toBe(maximumForwardedCalls);
      expect((await watch(heldWatch)).answer).toEqual(redirect);
      calls.handleLeaderChange();
      await Promise.all(held);
      isSilent = false;
      expect((await watch(heldWatch)).answer).toEqual({ kind: "leads" });
    });

    it("are bounded in number also if the leader responds at once", async () => {
      const call = packValue({});
      const quotas = Array.from(
        { length: maximumForwardedCalls + 1 },
        () => calls.quota({ call, forward: true }),
      );
      expect(logger.warn.mock.calls).toEqual([[
        "call-not-forwarded",
        { leader: leaderAddress, reason: "too many calls are forwarded" },
      ]]);
      const { reply: last } = await quotas.at(-1)!;
      expect(unpackValue(last)).toEqual({ answer: null });
      await Promise.all(quotas);
    });

    // Guards against a connection to a silent leader for each gateway that
    // searches, opened again at each repetition.
    it("are one search for all gateways that search at the time", async () => {
      isSilent = true;
      let connectionCount = 0;
      server.on("connection", () => (connectionCount += 1));
      const search = (index: number) =>
        packValue({ gateway: `g-${index}`, isSearch: true, demand: [] });
      const searches = Array.from(
        { length: 9 },
        (_, index) => watch(search(index)),
      );
      const answers = await Promise.all(searches);
      expect(answers.map(({ answer }) => answer))
        .toEqual(Array(9).fill(redirect));
      expect([received.length, connectionCount]).toEqual([1, 1]);
      isSilent = false;
      const { answer } = await watch(searchWatch);
      expect(answer).toEqual({ kind: "leads" });
    });

    // Guards against a gateway that gets the leader's answer to a later release.
    it("are a search of their own for gateways with other features", async () => {
      const search = (features: readonly string[]) =>
        packValue({ gateway: "g", isSearch: true, demand: [], features });
      const searches = [["a"], ["a", "b"], [], ["a"]].map((features) =>
        watch(search(features))
      );
      const answers = await Promise.all(searches);
      expect(answers.map(({ answer }) => answer.kind))
        .toEqual(Array(4).fill("leads"));
      expect(received).toHaveLength(3);
    });

    // Guards against gateways without allowance, and searches without a leader,
    // because many gateways await updates through the same VM.
    it("are forwarded at once while watches take all their places", async () => {
      const held = await holdWatches();
      const call = packValue({});
      const quota = await calls.quota({ call, forward: true });
      const suspect = await calls.suspect({ call, forward: true });
      const { answer } = await watch(searchWatch);
      calls.handleLeaderChange();
      await Promise.all(held);
      expect([unpackValue(quota.reply), unpackValue(suspect.reply), answer])
        .toEqual([{ kind: "granted" }, { kind: "granted" }, { kind: "leads" }]);
    });

    // Guards against gateways that find no place because of watches that others
    // have given up.
    it("leave their places when the gateway closes its connection", async () => {
      const services = new UnaryServices({ secret });
      services.service(Fleet, {
        watch: ({ watch, forward }, context) =>
          calls.watch({ call: watch, forward }, context),
      });
      const follower = await HttpListener.open({
        name: "peers",
        address: ownAddress,
        handler: (request, response) => void services.handle(request, response),
      });
      const connections = maximumForwardedCalls;
      const gateway = new PeerClients({ secret, connections });
      const client = gateway.client(ownAddress, Fleet);
      const givingUp = new AbortController();
      setMaxListeners(maximumForwardedCalls, givingUp.signal);
      try {
        isSilent = true;
        const { signal } = givingUp;
        const held = Array.from(
          { length: maximumForwardedCalls },
          () => client.watch({ watch: heldWatch, forward: true }, { signal }),
        );
        await expect.poll(() => received.length).toBe(maximumForwardedCalls);
        isSilent = false;
        givingUp.abort();
        await Promise.allSettled(held);
        await expect.poll(async () => (await watch(heldWatch)).answer)
          .toEqual({ kind: "leads" });
      } finally {
        gateway.close();
        follower.destroy();
      }
    });

    it.each([null, ownAddress])(
      "are not forwarded while the leader is %s",
      async (address) => {
        leadership.leaderAddress = address;
        expect((await watch(searchWatch)).answer).toEqual(redirect);
        expect(received).toEqual([]);
      },
    );
  });

  // Guards against gateways of earlier releases that get another response than
  // they expect.
  it("are not forwarded if they do not ask for it", async () => {
    expect((await watch(heldWatch, false)).answer).toEqual(redirect);
    const call = packValue({});
    const suspect = await calls.suspect({ call, forward: false });
    expect(unpackValue(suspect.reply)).toEqual({ kind: "elsewhere" });
    const quota = await calls.quota({ call, forward: false });
    expect(unpackValue(quota.reply)).toEqual({ answer: null });
    expect(received).toEqual([]);
  });
});

/** The connection of a gateway that keeps it. */
function keptConnection(): { readonly signal: AbortSignal } {
  return { signal: new AbortController().signal };
}
