import { execFileSync } from "node:child_process";
import { closeSync, constants, openSync, readSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LineWriter } from "./line_writer.ts";

const line = `${"x".repeat(1023)}\n`;
/** More than a pipe holds, and less than the writer buffers. */
const lineCount = 150;

describe("a line writer whose pipe is full", () => {
  let folder: string;
  let descriptor: number;
  let writer: LineWriter;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "line-writer-"));
    const path = join(folder, "pipe");
    execFileSync("mkfifo", [path]);
    // Libraries that look at standard output make it non-blocking.
    descriptor = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
    writer = new LineWriter(descriptor);
    for (let count = 0; count < lineCount; count += 1) writer.write(line);
    await pause(100);
  });

  afterEach(async () => {
    closeSync(descriptor);
    await rm(folder, { recursive: true });
  });

  function readBytes(): number {
    const buffer = Buffer.alloc(1024 * 1024);
    try {
      return readSync(descriptor, buffer);
    } catch {
      return 0;
    }
  }

  // Guards against last log lines that are missing though their reader was only
  // late.
  it("keeps the lines for a reader that reads late", async () => {
    let received = 0;
    const closed = writer.close();
    for (let round = 0; round < 40; round += 1) {
      received += readBytes();
      await pause(5);
    }
    await closed;
    expect(received).toBe(lineCount * line.length);
    expect(writer.droppedLines).toBe(0);
  });

  it("drops lines beyond its bound, and closes without a reader", async () => {
    for (let count = 0; count < 1000; count += 1) writer.write(line);
    expect(writer.droppedLines).toBeGreaterThan(500);
    const startedAt = performance.now();
    await writer.close();
    expect(performance.now() - startedAt).toBeLessThan(2000);
  });
});

describe("a line writer whose descriptor cannot be written", () => {
  // Guards against lines that are lost together and counted as one.
  it("counts each line that it loses", async () => {
    const writer = new LineWriter(1_000_000);
    for (let count = 0; count < 5; count += 1) writer.write(line);
    await writer.close();
    expect(writer.droppedLines).toBe(5);
  });
});
