import { spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as pause } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  createTenant,
  gatewayIp,
  keys,
  WorkspaceFleet,
} from "./workspace_fixture.ts";

const wrongKeysPerSecond = 1000;
const loadMilliseconds = 4000;
/**
 * Share of one core that the load may use: a gateway of the first site has 0.27
 * cores, of which other requests need a half.
 */
const maximumCores = 0.135;

/** Sends requests with wrong keys at a steady rate, and prints the statuses. */
const senderProgram = `
const net = require("node:net");
const [host, perSecond, milliseconds] = process.argv.slice(1);
const statuses = {};
let sent = 0;
const sockets = Array.from({ length: 20 }, () => {
  const socket = net.connect(7301, host);
  socket.on("data", (bytes) => {
    for (const [, status] of String(bytes).matchAll(/HTTP\\/1.1 (\\d+)/g)) {
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
  });
  return socket;
});
const startedAt = performance.now();
const timer = setInterval(() => {
  const passed = performance.now() - startedAt;
  for (; sent < passed * perSecond / 1000; sent += 1) {
    sockets[sent % sockets.length].write(
      "GET /lookup/1 HTTP/1.1\\r\\nhost: jigs.example\\r\\n" +
      "authorization: Bearer wrong-" + sent + "\\r\\n\\r\\n");
  }
  if (passed < milliseconds) return;
  clearInterval(timer);
  setTimeout(() => {
    console.log(JSON.stringify({ sent, statuses }));
    process.exit(0);
  }, 300);
}, 10);
`;

describe("a load of wrong keys", () => {
  let fleet: WorkspaceFleet;

  beforeAll(async () => {
    fleet = new WorkspaceFleet();
    await fleet.start();
    await fleet.addTenant(createTenant("acme", [keys.acme], 1));
  });

  afterAll(() => fleet.stop());

  async function sendWrongKeys() {
    const child = spawn(process.execPath, [
      "-e",
      senderProgram,
      gatewayIp(0),
      String(wrongKeysPerSecond),
      String(loadMilliseconds),
    ]);
    let output = "";
    child.stdout.on("data", (chunk) => (output += chunk));
    await once(child, "close");
    return JSON.parse(output) as {
      readonly sent: number;
      readonly statuses: Readonly<Record<string, number>>;
    };
  }

  /** Cores that this process, with all VMs, uses meanwhile. */
  async function measureCores(work: () => Promise<unknown>): Promise<number> {
    const startedAt = performance.now();
    const before = process.cpuUsage();
    await work();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1000 / (performance.now() - startedAt);
  }

  // Guards against callers with wrong keys that use up a gateway.
  it("uses a bounded share of a gateway, which serves others", async () => {
    const idleCores = await measureCores(() => pause(loadMilliseconds));
    // Measured once the code is compiled.
    await sendWrongKeys();
    let result: Awaited<ReturnType<typeof sendWrongKeys>> | undefined;
    const statuses: number[] = [];
    const cores = await measureCores(async () => {
      const load = sendWrongKeys().then((each) => (result = each));
      for (let at = 0; at < 20; at += 1) {
        await pause(loadMilliseconds / 20);
        statuses.push(
          (await fleet.send("/lookup/1", { key: keys.acme })).status,
        );
      }
      await load;
    });
    const { sent, statuses: refused } = result!;
    console.info(
      `${sent} wrong keys in ${loadMilliseconds} ms: ${
        (cores - idleCores).toFixed(3)
      } cores beside ${idleCores.toFixed(3)} of the fleet`,
    );
    expect(refused).toEqual({ 401: sent });
    expect(statuses.every((status) => status === 200)).toBe(true);
    expect(cores - idleCores).toBeLessThan(maximumCores);
  });
});
