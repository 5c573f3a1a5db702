import { appendFile, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findLastLeaderChange, LeaderReader } from "./leader_changes.ts";

describe("findLastLeaderChange", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "leader-changes-"));
  });

  afterEach(() => rm(folder, { recursive: true }));

  async function writeLog(
    name: string,
    events: readonly (readonly [event: string, at: number])[],
  ): Promise<string> {
    const path = join(folder, name);
    const lines = events.map(([message, at]) => {
      const timestamp = new Date(performance.timeOrigin + at).toISOString();
      return JSON.stringify({ level: "info", message, timestamp });
    });
    await writeFile(path, ["not JSON", ...lines, ""].join("\n"));
    return path;
  }

  // A missed one would have gateways judged while they get no loans yet.
  it("finds the latest of all control VMs", async () => {
    const first = await writeLog("0", [
      ["leadership-acquired", 1000],
      ["leader-changed", 9000],
    ]);
    const second = await writeLog("1", [
      ["leadership-acquired", 3000],
      ["leadership-lost", 4000],
    ]);
    const at = await findLastLeaderChange([first, second]);
    expect(Math.abs(at - 3000)).toBeLessThan(2);
  });

  it("finds none in logs without one", async () => {
    const path = await writeLog("0", [["started", 1000]]);
    expect(await findLastLeaderChange([path])).toBe(-Infinity);
  });
});

describe("LeaderReader", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "leader-reader-"));
  });

  afterEach(() => rm(folder, { recursive: true }));

  it("follows the leader of the highest term", async () => {
    const [first, second] = [join(folder, "0"), join(folder, "1")];
    const reader = new LeaderReader(new Map([["a", first], ["b", second]]));
    const line = (term: number) =>
      `${JSON.stringify({ event: "leadership-acquired", term })}\n`;
    await writeFile(first, "");
    await writeFile(second, "{}\n");
    expect(reader.read()).toBeUndefined();
    await appendFile(second, line(2));
    await appendFile(first, line(1));
    expect(reader.read()).toBe("b");
    const [start, end] = [line(3).slice(0, 20), line(3).slice(20)];
    await appendFile(first, start);
    expect(reader.read()).toBe("b");
    await appendFile(first, end);
    expect(reader.read()).toBe("a");
    expect(reader.count).toBe(3);
  });
});
