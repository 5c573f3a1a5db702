import { connect } from "node:net";
import type { ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HttpListener } from "./http_listener.ts";
import { closeAfterBody } from "./pipelined_response.ts";
import { PipelineLimits } from "./pipeline_limits.ts";

const host = `${loopbackPrefix()}.1`;
const port = 7394;
/** More than the system holds for a caller that reads nothing. */
const bodyBytes = 16 * 1024 * 1024;
const headEnd = "\r\n\r\n";

interface Received {
  readonly bytes: number;
  /** Whether the connection ended in order. */
  readonly hasEnded: boolean;
}

/** Asks, reads nothing for a time, and then all there is. */
async function askSlowly(pauseMilliseconds: number): Promise<Received> {
  const socket = connect(port, host);
  socket.pause();
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  const chunks: Buffer[] = [];
  let hasEnded = false;
  const closed = new Promise<void>((resolve) =>
    socket.once("close", () => resolve())
  );
  socket.on("error", () => {});
  socket.once("end", () => {
    hasEnded = socket.remoteAddress !== undefined;
  });
  await pause(pauseMilliseconds);
  socket.on("data", (chunk) => chunks.push(chunk));
  socket.resume();
  await closed;
  const all = Buffer.concat(chunks);
  return { bytes: all.length - all.indexOf(headEnd) - 4, hasEnded };
}

describe("a response whose end is that of its connection", () => {
  let listener: HttpListener;

  beforeEach(async () => {
    listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      pipelineLimits: new PipelineLimits({ concurrentPerConnection: 4 }),
      handler: (_request, response: ServerResponse) => {
        response.useChunkedEncodingByDefault = false;
        closeAfterBody(response);
        response.writeHead(200, ["connection", "close"]);
        response.end(Buffer.alloc(bodyBytes));
      },
    });
  });

  afterEach(() => listener.destroy());

  // Guards against a part that looks whole to a caller which reads more slowly than
  // the connection lingers.
  it("is sent whole to a caller that reads late", async () => {
    expect(await askSlowly(1000)).toEqual({ bytes: bodyBytes, hasEnded: true });
  });

  // Guards against a part that looks whole because the listener closes its
  // connection at the end of the time that it has to stop.
  it("does not end in order when the listener is destroyed", async () => {
    const asked = askSlowly(400);
    await pause(100);
    listener.destroy();
    const { bytes, hasEnded } = await asked;
    expect([bytes < bodyBytes, hasEnded]).toEqual([true, false]);
  });

  // Guards against the same at the end of the time that `close` has.
  it("does not end in order when the time to close is up", async () => {
    const asked = askSlowly(600);
    await pause(100);
    void listener.close({ maximumMilliseconds: 100 });
    const { bytes, hasEnded } = await asked;
    expect([bytes < bodyBytes, hasEnded]).toEqual([true, false]);
  });
});
