import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { measureMemory } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ResponseEnd, ResponsePath } from "./response_path_fixture.ts";
import type { ResponsePathOptions } from "./response_path_fixture.ts";

const endlessResponses = 8;
/** What a response may buffer, at each gateway and in its sockets. */
const maximumBytesOfResponse = 2 * 1024 * 1024;
const loadMilliseconds = 1500;

const paths: readonly (readonly [string, ResponsePathOptions])[] = [
  ["a gateway", {}],
  ["a gateway with a link", { linkMegabitsPerSecond: 1000 }],
  ["a gateway, for a request that may run more than once", {
    isIdempotent: true,
  }],
  ["two gateways", { isRelayed: true }],
  ["two gateways with links", {
    isRelayed: true,
    linkMegabitsPerSecond: 1000,
  }],
  ["two gateways, the second of an earlier release", {
    isRelayed: true,
    isSecondEarlier: true,
  }],
];

function createBody(size: number): string {
  return Array.from({ length: size }, (_, at) => at % 10).join("");
}

describe.each(paths)(
  "a response in chunks of one byte over %s",
  (_, options) => {
    let path: ResponsePath;

    beforeEach(async () => {
      path = new ResponsePath(options);
      await path.start();
    });

    afterEach(() => path.stop());

    function writeHead(socket: Socket, id: string): void {
      socket.write(
        `HTTP/1.1 200 OK\r\nrequest: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`,
      );
    }

    function onRequest(respond: (socket: Socket, id: string) => void): void {
      path.target.respond = (socket, text) => {
        const id = /^POST \/(\S+)/.exec(text)?.[1];
        if (id !== undefined) respond(socket, id);
      };
    }

    for (const httpVersion of ["1.1", "1.0"] as const) {
      it.each([3000, 300_000])(
        `is passed on whole to a caller of HTTP/${httpVersion}, of %i bytes`,
        async (size) => {
          const body = createBody(size);
          onRequest((socket, id) => {
            writeHead(socket, id);
            const chunks = [...body].map((byte) => `1\r\n${byte}\r\n`).join("");
            socket.write(`${chunks}0\r\n\r\n`);
          });
          const received = await path.ask({ name: "r1", httpVersion });
          expect(received.status).toBe(200);
          expect(received.body === body).toBe(true);
          expect(received.end).toBe(ResponseEnd.complete);
        },
      );
    }

    it("does not look whole if its target ends it in the middle", async () => {
      onRequest((socket, id) => {
        writeHead(socket, id);
        socket.end("1\r\nx\r\n".repeat(300_000));
      });
      const received = await path.ask({ name: "r1" });
      expect(received.status === 200 && received.end !== ResponseEnd.incomplete)
        .toBe(false);
    });

    // Guards against a gateway that runs out of memory, whichever way it takes.
    it("takes memory by its bytes, and no more if its caller reads nothing", async () => {
      const sockets = new Set<Socket>();
      onRequest((socket, id) => {
        sockets.add(socket);
        writeHead(socket, id);
        const pieces = "1\r\nx\r\n".repeat(2700);
        const send = () => {
          while (!socket.destroyed && socket.write(pieces));
        };
        socket.on("drain", send);
        send();
      });
      const before = measureMemory();
      const asked = Array.from(
        { length: endlessResponses },
        (_, at) =>
          path.ask({
            name: `r${at}`,
            deadlineMilliseconds: 2 * loadMilliseconds,
            onData: (_bytes, socket) => socket.pause(),
          }),
      );
      await pause(loadMilliseconds);
      const usedBytes = measureMemory() - before;
      for (const socket of sockets) {
        socket.destroy();
      }
      path.kill();
      await Promise.race([Promise.all(asked), pause(500)]);
      expect(usedBytes).toBeLessThan(endlessResponses * maximumBytesOfResponse);
    });
  },
);
