import { closeSync, openSync, readFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { LineWriter } from "./line_writer.ts";
import { createLogger } from "./logger.ts";

describe("a logger", () => {
  // Guards against lines whose fields change their order, or are lost when many
  // lines are written at once.
  it("writes all lines, each with its fields in the order of names", async () => {
    const folder = await mkdtemp(join(tmpdir(), "logger-"));
    const file = join(folder, "log");
    const descriptor = openSync(file, "w");
    const writer = new LineWriter(descriptor);
    const logger = createLogger({ fields: { vm: "gateway-1" }, writer });
    for (let status = 0; status < 50; status += 1) {
      logger.info("refused", { status, 'a "b"': null, age: NaN });
    }
    await writer.close();
    closeSync(descriptor);
    const lines = readFileSync(file, "utf8").trimEnd().split("\n");
    await rm(folder, { recursive: true });
    const timestamp = expect.stringMatching(/^\d{4}-\d\d-\d\dT.*Z$/);
    expect(lines.map((each) => JSON.parse(each))).toEqual(
      Array.from({ length: 50 }, (_, status) => ({
        'a "b"': null,
        age: null,
        event: "refused",
        level: "info",
        message: "refused",
        status,
        timestamp,
        vm: "gateway-1",
      })),
    );
    const names = Object.keys(JSON.parse(lines[0]!));
    expect(names).toEqual(names.toSorted());
  });
});
