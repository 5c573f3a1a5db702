import { readFile } from "node:fs/promises";
import { describe, expect, it } from "vitest";
import { releaseSamples } from "./release_samples.ts";

/** Releases that wrote a value in a way of their own, the newest last. */
const releases = ["7533a41", "dfd687d", "4771ec3"] as const;
const newest = releases.at(-1)!;

/** What an earlier release leaves out, by release and value. */
const leftOut: Readonly<Record<string, Readonly<Record<string, string>>>> = {
  "7533a41": { greeting: "time", relayedCalls: "receipt" },
};

/** Values that the earlier releases do not have. */
const added = ["borrowerCommands", "borrowerSnapshot"];

async function readFixtures(release: string): Promise<Record<string, string>> {
  const file = `packages/fleet_control/fixtures/${release}.json`;
  return JSON.parse(await readFile(file, "utf8"));
}

function omit(value: unknown, field: string | undefined): unknown {
  if (field === undefined) return value;
  if (Array.isArray(value)) return value.map((each) => omit(each, field));
  const { [field]: _omitted, ...rest } = value as Record<string, unknown>;
  return rest;
}

describe("the values that releases exchange or store", () => {
  describe.each(releases)("as written by %s", (release) => {
    const known = Object.entries(releaseSamples).filter(([name]) =>
      release === newest || !added.includes(name)
    );
    it.each(known)(
      "are read: %s",
      async (name, { value, decode }) => {
        const fixtures = await readFixtures(release);
        const bytes = new Uint8Array(Buffer.from(fixtures[name]!, "base64"));
        expect(decode(bytes)).toEqual(omit(value, leftOut[release]?.[name]));
      },
    );
  });

  // A change of a format needs a fixture of the release that brings it, which
  // `node tools/fixtures.mjs COMMIT` writes.
  it.each(Object.entries(releaseSamples))(
    `are written as by ${newest}: %s`,
    async (name, { value, encode }) => {
      const fixtures = await readFixtures(newest);
      const bytes = Buffer.from(encode(value as never));
      expect(bytes.toString("base64")).toBe(fixtures[name]);
    },
  );
});
