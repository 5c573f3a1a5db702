import { closeSync, openSync, readFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { RateLimitedLogger } from "./rate_limited_logger.ts";
import { LineWriter } from "./line_writer.ts";
import type { Logger } from "./logger.ts";

class RecordingLogger implements Logger {
  readonly lines: (readonly [string, unknown])[] = [];
  readonly debug = (event: string, fields?: unknown) =>
    this.#add(event, fields);
  readonly info = this.debug;
  readonly warn = this.debug;
  readonly error = this.debug;

  #add(event: string, fields: unknown): void {
    this.lines.push([event, fields]);
  }
}

describe("RateLimitedLogger", () => {
  it("limits the lines of an event and reports how many were omitted", () => {
    let now = 0;
    const recorder = new RecordingLogger();
    const logger = new RateLimitedLogger(recorder, () => now);
    for (let count = 0; count < 100; count += 1) logger.info("refused");
    logger.info("rare");
    now = 1000;
    logger.flush();
    const countLines = (event: string) =>
      recorder.lines.filter(([each]) => each === event).length;
    expect(countLines("refused")).toBe(25);
    expect(countLines("rare")).toBe(1);
    expect(recorder.lines.at(-1)).toEqual([
      "log-lines-omitted",
      { of: "refused", omitted: 75 },
    ]);
  });

  it("limits an event to a number of its own", () => {
    const recorder = new RecordingLogger();
    const maximumLines = new Map([["items-changed", 60]]);
    const logger = new RateLimitedLogger(recorder, () => 0, { maximumLines });
    for (let count = 0; count < 100; count += 1) {
      logger.info("items-changed");
      logger.info("refused");
    }
    const countLines = (event: string) =>
      recorder.lines.filter(([each]) => each === event).length;
    expect([countLines("items-changed"), countLines("refused")])
      .toEqual([60, 25]);
  });

  it("omits no errors", () => {
    const recorder = new RecordingLogger();
    const logger = new RateLimitedLogger(recorder, () => 0);
    for (let count = 0; count < 100; count += 1) logger.error("fault");
    expect(recorder.lines).toHaveLength(100);
  });
});

describe("LineWriter", () => {
  it("writes lines in order and drops those beyond its buffer limit", async () => {
    const folder = await mkdtemp(join(tmpdir(), "lines-"));
    const path = join(folder, "log");
    const descriptor = openSync(path, "w");
    const writer = new LineWriter(descriptor);
    const long = "x".repeat(1000);
    for (let line = 0; line < 1000; line += 1) {
      writer.write(`${line} ${long}\n`);
    }
    await new Promise<void>((resolve) => writer.end(resolve));
    closeSync(descriptor);
    const written = readFileSync(path, "utf8").trim().split("\n");
    expect(written.length + writer.droppedLines).toBe(1000);
    expect(writer.droppedLines).toBeGreaterThan(0);
    expect(written.slice(0, 3).map((line) => line.split(" ")[0]))
      .toEqual(["0", "1", "2"]);
    await rm(folder, { recursive: true });
  });

  it("drops a line if the descriptor cannot be written", async () => {
    const writer = new LineWriter(1_000_000);
    writer.write("a line without a reader\n");
    await new Promise<void>((resolve) => writer.end(resolve));
    expect(writer.droppedLines).toBe(1);
  });
});
