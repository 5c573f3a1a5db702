import { readReferenceTable } from "@kingcupglade/fakes";
import { describe, expect, it } from "vitest";
import { fleetSchemas } from "./fleet_schema.ts";
import { parseFleetSettings } from "./read.ts";
import { listKnownKeys } from "./schema.ts";

const page = "docs/FLEET_SETTINGS.md";

const gatewayText = `[vm]
name = front-1
role = gateway
dataCentre = hsinchu-a
region = hsinchu
[listen]
callers = 10.1.0.10:8161
readiness = 10.1.0.10:8167
peers = 10.1.0.10:7720
[control]
seeds = 10.1.0.12:8166, 10.2.0.42:8166
[regions]
hsinchu-a = hsinchu
`;

describe("fleet settings", () => {
  it("are undefined for a VM without a role", () => {
    expect(parseFleetSettings("[vm]\nname = vm-1\n", "vm.ini"))
      .toBeUndefined();
  });

  it("include all defaults", () => {
    expect(parseFleetSettings(gatewayText, "front.ini")).toMatchObject({
      control: {
        seeds: ["10.1.0.12:8166", "10.2.0.42:8166"],
        mayFound: false,
        toleratedLosses: 1,
      },
      callers: { concurrentPerConnection: 4 },
      retries: { ratio: 0.2, windowSeconds: 10, slack: 20 },
      dispatch: { paceTargets: true },
      log: { level: "info" },
      advertise: {},
      workspaces: {},
      quotas: { windowSeconds: 5, overage: 0.1, slack: 20 },
    });
  });

  it("can turn the pacing of targets off", () => {
    expect(parseFleetSettings(
      `${gatewayText}[dispatch]\npaceTargets = false\n`,
      "front.ini",
    )).toMatchObject({ dispatch: { paceTargets: false } });
  });

  const faults: readonly (readonly [string, RegExp, string])[] = [
    ["role = gateway", /vm.role: "chief" is unknown/, "role = chief"],
    ["role = gateway", /vm.dataFolder is missing/, "role = control"],
    [
      "callers = 10.1.0.10:8161",
      /listen.callers: must be IP:PORT/,
      "callers = front",
    ],
    [
      "[control]",
      /dispatch.paceTargets: .*boolean/,
      "[dispatch]\npaceTargets = slowly\n[control]",
    ],
    [
      "[control]",
      /callers.concurrentPerConnection/,
      "[callers]\nconcurrentPerConnection = 0\n[control]",
    ],
    ["[regions]", /quotas.overage/, "[quotas]\noverage = 11\n[regions]"],
    ["[regions]", /quotas.window/, "[quotas]\nwindowSeconds = 0\n[regions]"],
    [
      "[control]",
      /link.megabitsPerSecond/,
      "[link]\nmegabitsPerSecond = 0\n[control]",
    ],
    [
      "[control]",
      /advertise.peers: must be IP:PORT/,
      "[advertise]\npeers = 10.1.0.10\n[control]",
    ],
    [
      "[control]",
      /advertise.control is unknown/,
      "[advertise]\ncontrol = 10.1.0.10:8166\n[control]",
    ],
    ["seeds = ", /control.sedes is unknown; did you mean "seeds"/, "sedes = "],
  ];
  for (const [valid, message, invalid] of faults) {
    it(`with "${invalid}" are refused with a message that names the setting and a correction`, () => {
      const text = gatewayText.replace(valid, invalid);
      expect(() => parseFleetSettings(text, "front.ini")).toThrow(message);
    });
  }

  const sections = new Set([
    ...listKnownKeys(fleetSchemas.gateway, ""),
    ...listKnownKeys(fleetSchemas.control, ""),
  ]);
  for (const section of sections) {
    it(`are documented under ${section}`, async () => {
      const documented = await readReferenceTable(page, section);
      const keys = new Set([
        ...listKnownKeys(fleetSchemas.gateway, section),
        ...listKnownKeys(fleetSchemas.control, section),
      ]);
      expect([...documented.keys()].sort()).toEqual([...keys].sort());
    });
  }
});
