import { access, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { callControl, startRole, waitUntil } from "./fleet_fixture.ts";
import type { FleetVm } from "./fleet_vm.ts";

const ip = `${loopbackPrefix()}.1`;
const controlAddress = `${ip}:7300`;

describe("a control VM whose address is in use", () => {
  let folder: string;
  let running: FleetVm;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "control-start-"));
    running = await start("first", ip);
  });

  afterEach(async () => {
    await running.stop();
    await rm(folder, { recursive: true });
  });

  function start(data: string, address: string): Promise<FleetVm> {
    return startRole({
      role: "control",
      ip: address,
      seed: controlAddress,
      lines: `dataFolder = ${join(folder, data)}
[listen]
control = ${controlAddress}`,
    });
  }

  // Guards against two processes that write to one data folder.
  it.each([
    { listener: "peers", address: ip },
    { listener: "control", address: ip.replace(/1$/, "2") },
  ])(
    "does not open its data folder, with the address of $listener",
    async ({ listener, address }) => {
      await expect(start("second", address)).rejects.toThrow(
        new RegExp(`listen\\.${listener}.*free the port`),
      );
      await expect(access(join(folder, "second"))).rejects.toThrow();
      await waitUntil(async () => {
        const { status } = await callControl(
          controlAddress,
          "GET",
          "/v1/config",
        );
        return status === 200;
      });
    },
  );
});
