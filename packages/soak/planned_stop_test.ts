import { mkdtemp, readFile, rm } from "node:fs/promises";
import { Agent, request as send } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { build } from "esbuild";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createRoleProcess, RolePort } from "./role_process.ts";
import type { RoleProcessOptions } from "./role_process.ts";
import type { ServerProcess } from "./server_process.ts";

const callerCount = 60;
const graceSeconds = 4;
const millisecondsPerSecond = 1000;
const prefix = loopbackPrefix();

interface RequestOptions {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

/** Returns how a request ended: "answered", or the code of an error. */
function sendRequest(
  { body, ...options }: RequestOptions,
  agent: Agent,
): Promise<string> {
  return new Promise((resolve) => {
    const request = send({ ...options, agent }, (response) => {
      response.resume();
      response.once("end", () => resolve("answered"));
      response.once("error", (failure) => resolve(failure.message));
    });
    request.once(
      "error",
      (failure: NodeJS.ErrnoException) =>
        resolve(failure.code ?? failure.message),
    );
    request.end(body);
  });
}

/** Callers that ask again at once until a request isn't answered. */
class AskingCallers {
  /** Number of requests by how they ended. */
  readonly ends = new Map<string, number>();
  readonly stopped: Promise<unknown>;

  constructor(requests: readonly RequestOptions[]) {
    this.stopped = Promise.all(
      Array.from(
        { length: callerCount },
        (_, index) => this.#ask(requests[index % requests.length]!),
      ),
    );
  }

  async #ask(request: RequestOptions): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let end: string;
    do {
      end = await sendRequest(request, agent);
      this.ends.set(end, (this.ends.get(end) ?? 0) + 1);
    } while (end === "answered");
    agent.destroy();
  }
}

describe("a planned stop of a process", () => {
  let folder: string;

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "planned-stop-"));
    await build({
      entryPoints: ["packages/kingcupglade/main.ts"],
      outfile: join(folder, "kingcupglade.cjs"),
      bundle: true,
      platform: "node",
      target: "node20",
      format: "cjs",
      logLevel: "error",
    });
  });

  afterAll(() => rm(folder, { recursive: true }));

  function createProcess(
    { role, ip }: Pick<RoleProcessOptions, "role" | "ip">,
  ): Promise<ServerProcess> {
    return createRoleProcess({
      role,
      name: role,
      ip,
      seeds: [`${prefix}.2:${RolePort.control}`],
      toleratedLosses: 0,
      graceSeconds,
      bundle: join(folder, "kingcupglade.cjs"),
      folder,
    });
  }

  async function stopUnderLoad(
    vm: ServerProcess,
    requests: readonly RequestOptions[],
  ): Promise<{ readonly ends: Map<string, number>; readonly log: string }> {
    vm.start();
    const agent = new Agent();
    while (await sendRequest(requests[0]!, agent) !== "answered") {
      await pause(50);
    }
    const callers = new AskingCallers(requests);
    await pause(200);
    const startedAt = performance.now();
    await vm.end("SIGTERM");
    expect(performance.now() - startedAt).toBeLessThan(
      graceSeconds * millisecondsPerSecond,
    );
    await callers.stopped;
    const log = await readFile(join(folder, `${vm.name}.log`), "utf8");
    return { ends: callers.ends, log };
  }

  // Guards against resets at the end of a stop that callers press until then.
  it("of a gateway leaves no request of a caller unanswered", async () => {
    const ip = `${prefix}.1`;
    const target = { host: ip, port: RolePort.callers, path: "/" };
    const { ends, log } = await stopUnderLoad(
      await createProcess({ role: "gateway", ip }),
      [
        { ...target, method: "GET" },
        { ...target, method: "PUT", body: "whole" },
      ],
    );
    expect([...ends.keys()].sort()).toEqual(["ECONNREFUSED", "answered"]);
    expect(ends.get("ECONNREFUSED")).toBe(callerCount);
    expect(log).toMatch(/"event":"listener-closed".*"listener":"callers"/);
    expect(log).toMatch(/"event":"gateway-stopped"/);
  });

  // Guards against heartbeats and orders that are cut at the end of a stop.
  it("of a control VM leaves no call unanswered", async () => {
    const ip = `${prefix}.2`;
    const target = { host: ip, port: RolePort.control };
    const { ends, log } = await stopUnderLoad(
      await createProcess({ role: "control", ip }),
      [
        { ...target, method: "GET", path: "/v1/config" },
        { ...target, method: "POST", path: "/v1/evacuations/a" },
        { ...target, method: "PUT", path: "/v1/instances/t1", body: "{}" },
      ],
    );
    expect([...ends.keys()].sort()).toEqual(["ECONNREFUSED", "answered"]);
    expect(ends.get("ECONNREFUSED")).toBe(callerCount);
    expect(log).toMatch(/"event":"control-stopped"/);
  });
});
