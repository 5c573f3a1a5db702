import { readReferenceTable } from "@kingcupglade/fakes";
import { describe, expect, it } from "vitest";
import { z } from "zod";
import { bundleSchema } from "./schema.ts";

interface JsonSchema {
  readonly type?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly items?: JsonSchema;
}

describe("docs/BUNDLE.md", () => {
  const schema = z.toJSONSchema(bundleSchema, { io: "input" }) as JsonSchema;
  const lists = Object.entries(schema.properties ?? {}).filter(([, each]) =>
    each.type === "array"
  );
  const sections: readonly (readonly [string, JsonSchema])[] = [
    ["bundle", schema],
    ...lists.map(([name, each]) => [`${name}[]`, each.items!] as const),
  ];

  for (const [section, described] of sections) {
    it(`names every key and default of ${section}`, async () => {
      const documented = await readReferenceTable("docs/BUNDLE.md", section);
      const properties = described.properties ?? {};
      expect([...documented.keys()]).toEqual(Object.keys(properties));
      for (const [key, property] of Object.entries(properties)) {
        if (property.default === undefined) continue;
        const { default: value } = property;
        expect(`${key}: ${documented.get(key)}`).toBe(
          `${key}: ${
            typeof value === "string" ? value : JSON.stringify(value)
          }`,
        );
      }
    });
  }
});
