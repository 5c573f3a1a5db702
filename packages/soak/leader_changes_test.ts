import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findLastLeaderChange } from "./leader_changes.ts";

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
