import { readFile } from "node:fs/promises";
import { describe, expect, it } from "vitest";
import { parseFleetSettings } from "./read.ts";

const template = "deploy/settings.ini";

/** Fields of a VM as the platform provides them. */
const vm = {
  nodeName: "front-hsinchu-a-1",
  role: "gateway",
  zone: "hsinchu-a",
  region: "hsinchu",
  ip: "10.1.0.10",
  internalPortRange: [7720, 7735],
  seeds: ["10.1.0.12:8166", "10.2.0.42:8166"],
  bootstrap: true,
  heartbeatIntervalS: 0.87,
  listenAddresses: { front: "10.1.0.10:8161", ready: "10.1.0.10:8167" },
  zones: { "hsinchu-a": "hsinchu" },
  faultTolerance: { machines: 2 },
  bounds: {
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    budgetSlack: 58,
    gracePeriodS: 6,
  },
};

type Fields = Readonly<Record<string, unknown>>;

/** Expands placeholders and sections as the platform does. */
function fill(text: string, fields: Fields): string {
  const withSections = text.replace(
    /{{#([\w.]+)}}([\s\S]*?){{\/\1}}/g,
    (_match, path: string, inner: string) => {
      const value = lookUp(fields, path);
      if (value === undefined || value === null || value === false) return "";
      const entries = typeof value === "object"
        ? Object.entries(value)
        : [["", value] as const];
      return entries.map(([key, entry]) =>
        fill(inner, { ...fields, "@": key, ".": entry })
      ).join("");
    },
  );
  return withSections.replace(
    /{{([^{}]+)}}/g,
    (_match, path: string) => String(lookUp(fields, path) ?? ""),
  );
}

function lookUp(fields: Fields, path: string): unknown {
  if (path in fields) return fields[path];
  return path.split(".").reduce<unknown>(
    (value, name) => (value as Fields | undefined)?.[name],
    fields,
  );
}

async function readTemplateSettings(bounds: Fields) {
  const text = await readFile(template, "utf8");
  return parseFleetSettings(fill(text, { ...vm, bounds }), "node.ini");
}

describe("the settings template", () => {
  const cases: readonly (readonly [string, Fields])[] = [
    ["integers", vm.bounds],
    ["fractions", {
      retryBudgetRatio: 0.25,
      budgetWindowS: 9.5,
      budgetSlack: 30.714285714285715,
      gracePeriodS: 5.5,
    }],
    ["additional bounds", { ...vm.bounds, drains: true, holdS: 0.5 }],
    ["zero slack", { ...vm.bounds, budgetSlack: 0 }],
  ];
  for (const [name, bounds] of cases) {
    it(`accepts ${name}`, async () => {
      expect(await readTemplateSettings(bounds)).toMatchObject({
        retries: {
          ratio: bounds.retryBudgetRatio,
          windowSeconds: bounds.budgetWindowS,
          slack: bounds.budgetSlack,
        },
        stop: { graceSeconds: bounds.gracePeriodS },
      });
    });
  }

  // Guards against gateways that keep serving revoked keys on a site that asks
  // for a bound, and against a lease on one that does not.
  it("bounds revocations only where the site asks for it", async () => {
    const read = async (bounds: Fields) =>
      (await readTemplateSettings({ ...vm.bounds, ...bounds }))?.workspaces;
    expect(await read({ strictRevocation: true, revokeTimeoutS: 5 }))
      .toEqual({ revokeSeconds: 5 });
    expect(await read({ strictRevocation: false, revokeTimeoutS: 5 }))
      .toEqual({});
    expect(await read({})).toEqual({});
  });

  // Guards against limits that are looser or tighter than the site asks for.
  it("takes over how closely limits are kept, as far as the site says", async () => {
    const read = async (bounds: Fields) =>
      (await readTemplateSettings({ ...vm.bounds, ...bounds }))?.quotas;
    expect(await read({ quotaWindowS: 4, quotaOverage: 0, quotaSlack: 0 }))
      .toEqual({ windowSeconds: 4, overage: 0, slack: 0 });
    expect(await read({ quotaSlack: 34 }))
      .toEqual({ windowSeconds: 5, overage: 0.1, slack: 34 });
    expect(await read({}))
      .toEqual({ windowSeconds: 5, overage: 0.1, slack: 20 });
  });

  // Guards against a gateway that closes callers' connections from 150 on, as the
  // process may open 200 files only, where the VM has thousands of descriptors.
  it("takes the descriptors of a VM, if they are given", async () => {
    const text = await readFile(template, "utf8");
    const read = (limits: Fields) =>
      parseFleetSettings(fill(text, { ...vm, limits }), "node.ini");
    expect(read({ fdLimit: 4100 })).toMatchObject({
      callers: { fileDescriptors: 4100 },
    });
    expect(read({})).toMatchObject({ callers: { concurrentPerConnection: 4 } });
  });

  // Guards against a gateway that does not know the rate of its link.
  it("takes the rate of a VM's link, if there is one", async () => {
    const text = await readFile(template, "utf8");
    const read = (limits: Fields) =>
      parseFleetSettings(fill(text, { ...vm, limits }), "node.ini");
    expect(read({ linkMbps: 2.52 })).toMatchObject({
      link: { megabitsPerSecond: 2.52 },
    });
    expect(read({})?.link.megabitsPerSecond).toBeUndefined();
  });
});
