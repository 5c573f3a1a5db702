import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Link } from "./link.ts";
import { Network } from "./network.ts";

const ip = "127.77.9.1";
const listenAt = `${ip}:8999`;

describe("a link between two processes", () => {
  let network: Network;
  let server: Server;
  let link: Link;
  let far: Socket[];
  let received: string;
  let answered: string;
  let near: Socket;

  beforeEach(async () => {
    network = new Network();
    far = [];
    received = "";
    answered = "";
    server = createServer((socket) => {
      far.push(socket);
      socket.on("error", () => {});
      socket.on("data", (data) => (received += String(data)));
    });
    server.listen(0, ip);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    link = await Link.open({
      network,
      from: "a",
      to: "b",
      listenAt,
      address: `${ip}:${port}`,
    });
    near = connect({ host: ip, port: 8999 });
    near.on("error", () => {});
    near.on("data", (data) => (answered += String(data)));
    await expect.poll(() => far.length).toBe(1);
  });

  afterEach(() => {
    near.destroy();
    link.close();
    server.close();
  });

  const exchange = async (question: string, answer: string) => {
    near.write(question);
    await expect.poll(() => received).toContain(question);
    far[0]!.write(answer);
    await expect.poll(() => answered).toContain(answer);
  };

  it("carries both ways", async () => {
    await exchange("question", "answer");
  });

  it("holds what is sent on a way that is cut until it is healed", async () => {
    const heal = network.cut("a", "b");
    near.write("held");
    far[0]!.write("other way");
    await expect.poll(() => answered).toBe("other way");
    expect(received).toBe("");
    heal();
    await expect.poll(() => received).toBe("held");
  });

  it("stays cut until every cut of the way is healed", async () => {
    const heals = [network.cut("b", "a"), network.cut("b", "a")];
    far[0]!.write("answer");
    heals[0]!();
    near.write("question");
    await expect.poll(() => received).toBe("question");
    expect(answered).toBe("");
    heals[1]!();
    await expect.poll(() => answered).toBe("answer");
  });

  it("tells of the end of a connection when the way is open", async () => {
    const heal = network.cut("a", "b");
    let ended = false;
    far[0]!.once("close", () => (ended = true));
    near.write("last words");
    near.end();
    far[0]!.write("late");
    await expect.poll(() => answered).toBe("late");
    expect(ended).toBe(false);
    heal();
    await expect.poll(() => ended).toBe(true);
    expect(received).toBe("last words");
  });
});
