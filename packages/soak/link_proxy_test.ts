import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "./fault_injector.ts";
import { LinkFaultKind } from "./link_contact.ts";
import { LinkFlow, LinkNetwork } from "./link_proxy.ts";

const prefix = loopbackPrefix();
const port = 8390;
const called = { name: "b", ip: `${prefix}.72`, proxyIp: `${prefix}.73` };
const passMilliseconds = 60;

/** A connection that collects the texts which return to it. */
class Caller {
  readonly received: string[] = [];
  readonly socket: Socket;
  isClosed = false;

  constructor(ip: string) {
    const options = { port, host: called.proxyIp, localAddress: ip };
    this.socket = connect(options);
    this.socket.on("data", (text) => this.received.push(String(text)));
    this.socket.on("error", () => {});
    this.socket.on("close", () => this.isClosed = true);
  }

  /** Sends a text, and returns what has returned a little later. */
  async echo(text: string): Promise<string> {
    this.socket.write(text);
    await delay(passMilliseconds);
    return this.received.join("");
  }
}

describe("links through proxies", () => {
  let network: LinkNetwork;
  let server: Server;
  const callers: Caller[] = [];

  const call = (last = 71) => {
    const caller = new Caller(`${prefix}.${last}`);
    callers.push(caller);
    return caller;
  };

  beforeEach(async () => {
    const sockets = new Set<Socket>();
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.pipe(socket);
    });
    server.on("close", () => sockets.forEach((each) => each.destroy()));
    await new Promise<void>((resolve) =>
      server.listen(port, called.ip, resolve)
    );
    network = new LinkNetwork({
      callers: [71, 74].map((last) => ({
        name: `a${last}`,
        ip: `${prefix}.${last}`,
      })),
      called: [called],
    });
    await network.open(called, port);
  });

  afterEach(() => {
    for (const each of callers.splice(0)) each.socket.destroy();
    network.close();
    server.close();
  });

  it("carry what is sent", async () => {
    expect(await call().echo("one")).toBe("one");
  });

  it("carry what was held when the fault ends", async () => {
    const caller = call();
    const heal = network.hold((_, flow) => flow === LinkFlow.responses);
    expect(await caller.echo("one")).toBe("");
    heal();
    expect(await caller.echo("two")).toBe("onetwo");
    expect(network.disturbances).toMatchObject([
      { kind: LinkFaultKind.cut, source: "a71", destination: "b" },
      { kind: LinkFaultKind.cut, source: "a74", destination: "b" },
    ]);
  });

  it("stay silent on the open connections only", async () => {
    const caller = call();
    expect(await caller.echo("one")).toBe("one");
    network.silence(() => true);
    expect(await caller.echo("two")).toBe("one");
    expect(caller.isClosed).toBe(false);
    expect(await call().echo("three")).toBe("three");
  });

  it("fail for the chosen callers only", async () => {
    const [first, second] = [call(71), call(74)];
    await Promise.all([first.echo("one"), second.echo("one")]);
    network.reset(({ source }) => source === "a71");
    await delay(passMilliseconds);
    expect([first.isClosed, second.isClosed]).toEqual([true, false]);
  });

  it("delay each direction", async () => {
    const heal = network.delay(() => true, passMilliseconds);
    const caller = call();
    expect(await caller.echo("one")).toBe("");
    await delay(passMilliseconds * 2);
    expect(caller.received).toEqual(["one"]);
    heal();
  });

  it("leave new connections unanswered", async () => {
    const before = call();
    await before.echo("one");
    const heal = network.mute(() => true);
    expect(await call().echo("two")).toBe("");
    expect(await before.echo("two")).toBe("onetwo");
    heal();
    expect(await call().echo("three")).toBe("three");
  });
});
