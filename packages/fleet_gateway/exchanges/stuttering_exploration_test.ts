import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { seededRandom } from "../requests/forwarding_fixture.ts";
import { ResponsePath } from "./response_path_fixture.ts";
import { hasBeenReset } from "./socket_end.ts";
import {
  StutteringTarget,
  TargetFraming,
} from "./stuttering_target_fixture.ts";
import type { MeantResponse } from "./stuttering_target_fixture.ts";

/** First and last seed. */
const [firstSeed = 1, lastSeed = 40] = (process.env["STUTTER_SEEDS"] ?? "1-20")
  .split("-").map(Number);
const roundCount = 6;
const maximumPipelined = 3;
const deadlineMilliseconds = 700;
const headEnd = "\r\n\r\n";

/** A request as a caller writes it. */
interface SentRequest {
  readonly name: string;
  readonly isHead: boolean;
  readonly text: string;
}

/** What one connection of a caller showed. */
interface CallerBytes {
  readonly requests: readonly SentRequest[];
  readonly text: string;
  readonly wasReset: boolean;
  /** Whether the caller read the end of its connection, which it may leave before. */
  readonly hasEnded: boolean;
}

/** Returns what is wrong with the responses on a caller's connection. */
function judge(
  { requests, text, wasReset, hasEnded }: CallerBytes,
  meant: ReadonlyMap<string, readonly MeantResponse[]>,
): string | undefined {
  let rest = text;
  for (const { name, isHead } of requests) {
    const end = rest.indexOf(headEnd);
    if (end < 0) return undefined;
    const head = rest.slice(0, end).toLowerCase();
    const status = Number(/^http\/1\.1 (\d{3}) /.exec(head)?.[1]);
    if (Number.isNaN(status)) return `${name}: bytes that are no response`;
    const id = /\r\nrequest: *(.*)/.exec(head)?.[1]?.trim();
    const content = rest.slice(end + headEnd.length);
    const hasBody = !isHead && status !== 204;
    const received = readBody(head, content, hasBody);
    rest = received.rest;
    if (id === undefined) {
      const isOwn = [502, 503, 504].includes(status) &&
        !head.includes("\r\nextra:");
      if (!isOwn) return `${name}: ${status} of no target`;
      continue;
    }
    if (id !== name) return `${name}: the response to ${id}`;
    // An idempotent request runs twice if its response is overdue.
    const attempt = /\r\nattempt: (\d)(?:\r\n|$)/.exec(head)?.[1];
    const own = attempt === undefined
      ? undefined
      : meant.get(name)?.[Number(attempt)];
    if (status !== own?.status) {
      return `${name}: ${status} instead of ${own?.status}`;
    }
    if (received.end === "broken" || (received.end === "open" && wasReset)) {
      continue;
    }
    const { body } = received;
    if (body === own.body) continue;
    const mayBePart = !hasEnded ||
      (own.isCutInOrder && own.framing === TargetFraming.connection);
    const isPart = received.end === "open" && mayBePart &&
      own.body.startsWith(body);
    if (!isPart) {
      return `${name}: ${body.length} of ${own.body.length} bytes, ${received.end}`;
    }
  }
  return rest === "" ? undefined : `${rest.length} bytes after all responses`;
}

function readBody(
  head: string,
  content: string,
  hasBody: boolean,
): { readonly body: string; readonly rest: string; readonly end: string } {
  if (!hasBody) return { body: "", rest: content, end: "whole" };
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  if (length !== undefined) {
    const body = content.slice(0, Number(length));
    const end = body.length === Number(length) ? "whole" : "broken";
    return { body, rest: content.slice(body.length), end };
  }
  if (!head.includes("\r\ntransfer-encoding: chunked")) {
    return { body: content, rest: "", end: "open" };
  }
  let body = "";
  let rest = content;
  for (;;) {
    const [, size = ""] = /^([0-9a-f]+)\r\n/.exec(rest) ?? [];
    const from = size.length + 2;
    const to = from + parseInt(size, 16);
    if (size === "" || rest.slice(to, to + 2) !== "\r\n") {
      return { body, rest: "", end: "broken" };
    }
    body += rest.slice(from, to);
    rest = rest.slice(to + 2);
    if (to === from) return { body, rest, end: "whole" };
  }
}

function createRequest(name: string, random: () => number): SentRequest {
  const kind = random();
  const isHead = kind < 0.1;
  const length = kind < 0.5 ? 0 : Math.floor(random() * 2000);
  const method = isHead ? "HEAD" : kind < 0.5 ? "GET" : "POST";
  const lengthLine = method === "POST" ? `content-length: ${length}\r\n` : "";
  const text = `${method} /${name} HTTP/1.1\r\nhost: h\r\n${lengthLine}\r\n${
    "b".repeat(length)
  }`;
  return { name, isHead, text };
}

/** Sends requests on one connection, at once or in parts, and reads its bytes. */
function call(
  port: number,
  requests: readonly SentRequest[],
  random: () => number,
): Promise<CallerBytes> {
  const socket = connect(port, "127.0.0.1");
  const chunks: Buffer[] = [];
  let wasReset = false;
  let hasEnded = false;
  socket.on("error", () => (wasReset = true));
  socket.once("end", () => {
    hasEnded = true;
    wasReset ||= hasBeenReset(socket);
  });
  socket.on("data", (chunk) => chunks.push(chunk));
  const text = requests.map((each) => each.text).join("");
  const cut = Math.floor(random() * text.length);
  socket.write(text.slice(0, cut));
  const waitMilliseconds = random() * 10;
  void pause(waitMilliseconds).then(() => {
    if (socket.writable) socket.write(text.slice(cut));
  });
  return new Promise((resolve) => {
    const timer = setTimeout(() => socket.destroy(), 2 * deadlineMilliseconds);
    let quiet: NodeJS.Timeout | undefined;
    socket.on("data", () => {
      clearTimeout(quiet);
      quiet = setTimeout(() => socket.destroy(), deadlineMilliseconds / 4);
    });
    socket.once("close", () => {
      clearTimeout(timer);
      clearTimeout(quiet);
      resolve({
        requests,
        text: Buffer.concat(chunks).toString("latin1"),
        wasReset,
        hasEnded,
      });
    });
  });
}

interface Exploration {
  readonly violations: readonly string[];
  readonly responseCount: number;
  readonly reusedCount: number;
  readonly copies: ReadonlyMap<string, number>;
}

async function explore(
  seed: number,
  options: { readonly isRelayed: boolean; readonly isIdempotent: boolean },
): Promise<Exploration> {
  const path = new ResponsePath({ ...options, deadlineMilliseconds });
  await path.start();
  const target = new StutteringTarget(seededRandom(seed));
  path.target.respond = (socket, text) => target.receive(socket, text);
  const random = seededRandom(seed + 1_000_000);
  const callerCount = 1 + Math.floor(random() * 3);
  const violations: string[] = [];
  let count = 0;
  const callOften = async () => {
    for (let round = 0; round < roundCount; round += 1) {
      const requests = Array.from(
        { length: 1 + Math.floor(random() * maximumPipelined) },
        () => createRequest(`q${seed}n${count++}`, random),
      );
      const bytes = await call(path.callersPort, requests, random);
      const violation = judge(bytes, target.meant);
      if (violation) violations.push(`seed ${seed}, ${violation}`);
    }
  };
  await Promise.all(Array.from({ length: callerCount }, callOften));
  path.stop();
  const { meant, reusedCount, copies } = target;
  const maximumAttempts = options.isIdempotent ? 2 : 1;
  for (const [name, { length }] of meant) {
    if (length <= maximumAttempts) continue;
    violations.push(`seed ${seed}, ${name}: ${length} attempts`);
  }
  for (const name of target.repeated) {
    violations.push(`seed ${seed}, ${name}: twice on one connection`);
  }
  return { violations, responseCount: meant.size, reusedCount, copies };
}

describe.each([
  { isRelayed: false, isIdempotent: false },
  { isRelayed: false, isIdempotent: true },
  { isRelayed: true, isIdempotent: false },
])("a target that stutters, breaks off and falls silent (%j)", (options) => {
  // Guards against responses with bytes of others, of others, or in part, that look
  // whole to their callers.
  it(
    `shows callers their own responses or faults (seeds ${firstSeed} to ${lastSeed})`,
    async () => {
      const violations: string[] = [];
      const sums = { responses: 0, reused: 0, copies: 0 };
      const places = new Map<string, number>();
      const seeds = Array.from(
        { length: lastSeed - firstSeed + 1 },
        (_, at) => firstSeed + at,
      );
      const run = async () => {
        for (
          let seed = seeds.shift();
          seed !== undefined;
          seed = seeds.shift()
        ) {
          const explored = await explore(seed, options);
          violations.push(...explored.violations);
          sums.responses += explored.responseCount;
          sums.reused += explored.reusedCount;
          for (const [place, count] of explored.copies) {
            sums.copies += count;
            places.set(place, (places.get(place) ?? 0) + count);
          }
        }
      };
      await Promise.all(Array.from({ length: 8 }, run));
      if (process.env["STUTTER_SEEDS"]) console.log(sums, places);
      expect(violations).toEqual([]);
      expect(sums.reused).toBeGreaterThan(0);
      expect(sums.copies).toBeGreaterThan(0);
    },
    600_000,
  );
});
