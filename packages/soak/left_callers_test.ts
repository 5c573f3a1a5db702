import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { delay } from "./fault_injector.ts";
import { InvariantMonitor } from "./invariant_monitor.ts";
import { callAndLeave } from "./leaving_caller.ts";
import { LoadGenerator } from "./load_generator.ts";
import { AttemptMonitor } from "./attempt_monitor.ts";
import { Operator } from "./operator.ts";
import { createRoleProcess, RolePort } from "./role_process.ts";
import type { ServerProcess } from "./server_process.ts";
import { SoakTarget } from "./soak_target.ts";

const prefix = loopbackPrefix();
const control = [`${prefix}.61:${RolePort.control}`];
const gateway = {
  name: "gateway-0",
  address: `${prefix}.71:${RolePort.callers}`,
};
const startupMilliseconds = 20_000;
/** Of each second, the gateway runs for this long. */
const runningMilliseconds = 100;
const roundMilliseconds = 1000;
const roundCount = 8;
const callersPerRound = 40;
/** Longer than a run at a target. */
const settleMilliseconds = 2500;

// Guards against work for callers that left while their gateway had no processor
// time: their requests and the ends of their connections are read together.
describe("callers that leave a gateway which mostly does not run", () => {
  let folder: string;
  const monitor = new InvariantMonitor();
  const processes: ServerProcess[] = [];
  const targets: SoakTarget[] = [];

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "left-callers-"));
    const bundle = join(folder, "kingcupglade.cjs");
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: bundle,
      bundle: true,
      platform: "node",
      target: "node20",
      format: "cjs",
      logLevel: "error",
    });
    const common = { seeds: control, toleratedLosses: 0, folder, bundle };
    const roles = [
      ["control", "control-0", control[0]!],
      ["gateway", gateway.name, gateway.address],
    ] as const;
    for (const [role, name, address] of roles) {
      const ip = address.split(":")[0]!;
      processes.push(await createRoleProcess({ ...common, role, name, ip }));
    }
    for (const each of processes) each.start();
    const random = Math.random;
    await new Operator({ control, random })
      .applyInitialConfiguration(startupMilliseconds);
    for (const [index, service] of ["catalogue", "stock"].entries()) {
      const target = new SoakTarget({
        name: `${service}-0`,
        service,
        isKeyed: service === "stock",
        address: `${prefix}.${81 + index}:8400`,
        control,
        monitor,
        random,
      });
      targets.push(target);
      await target.start();
    }
    const generator = new LoadGenerator({
      gateways: [gateway],
      monitor,
      attempts: new AttemptMonitor(),
      limitedTarget: "",
      random,
    });
    await generator.waitUntilServed(startupMilliseconds);
    await generator.stop();
  });

  afterAll(async () => {
    for (const target of targets) target.end();
    await Promise.all(processes.map((each) => each.end("SIGKILL")));
    await rm(folder, { recursive: true });
  });

  it("cause no more than a few runs after they have left", async () => {
    const [, gatewayProcess] = processes;
    const callers: Promise<void>[] = [];
    for (let round = 0; round < roundCount; round += 1) {
      gatewayProcess!.signal("SIGSTOP");
      for (let index = 0; index < callersPerRound; index += 1) {
        const id = `left-${round}-${index}`;
        const random = Math.random;
        callers.push(callAndLeave({ id, gateway, monitor, random }));
      }
      await delay(roundMilliseconds - runningMilliseconds);
      gatewayProcess!.signal("SIGCONT");
      await delay(runningMilliseconds);
    }
    await Promise.all(callers);
    await delay(settleMilliseconds);
    expect(monitor.departures.findViolations()).toEqual([]);
    expect(monitor.violations).toEqual([]);
  });
});
