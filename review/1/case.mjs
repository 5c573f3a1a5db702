// A control machine freezes with an order of the operator in its socket, and
// carries it out when it wakes, after the operator has ordered the opposite.
import { setTimeout as pause } from "node:timers/promises";
import { Deployment, Record, runCase } from "../deployment.mjs";
import {
  clientHeaders,
  createConfiguration,
  exchange,
  Operator,
  Port,
  Worker,
} from "../stand_ins.mjs";

const zone = "north-a";
const workersPerZone = 2;
const heartbeatSeconds = 1.5;
/** Bounds of both sites. */
const contactMilliseconds = 3000;
const evacuationGraceMilliseconds = 5000;
/** Within what both sites name for a frozen machine of the core, 7.3 s. */
const freezeMilliseconds = 5000;
const hasTrouble = process.env.TROUBLE !== "0";

const record = new Record("record.txt");
const deployment = new Deployment({
  zones: { "north-a": "north", "north-b": "north", "south-a": "south" },
  controls: 5,
  gateways: 2,
});

await runCase(record, deployment, async () => {
  const operator = new Operator({
    addresses: deployment.controlAddresses,
    record,
  });
  await operator.order("PATCH", "/v1/config", {
    body: createConfiguration([{ service: "chart" }]),
  });
  const runs = [];
  const workers = await startWorkers(runs);
  await deployment.waitUntilReady();
  await pause(5000);
  const traffic = startTraffic();
  await pause(2000);

  const frozen = deployment.controls.find((each) => each !== deployment.leader);
  const frozenAddress = frozen.address(Port.control);
  const others = deployment.controlAddresses.filter((each) =>
    each !== frozenAddress
  );
  const path = `/v1/evacuations/${zone}`;
  await operator.order("POST", path, { nodes: others });
  await pause(3000);
  const frozenAt = performance.now();
  if (hasTrouble) {
    record.write(`${frozen.name} freezes`);
    frozen.signal("SIGSTOP");
  }
  // The operator picks the frozen machine first, and the others afterwards.
  await operator.order("DELETE", path, { nodes: [frozenAddress, ...others] });
  await pause(1500);
  const acknowledgedAt = await operator.order("POST", path, { nodes: others });
  await pause(frozenAt + freezeMilliseconds - performance.now());
  if (hasTrouble) {
    record.write(`${frozen.name} wakes`);
    frozen.signal("SIGCONT");
  }
  const wokenAt = performance.now();
  // The machines are in touch again, and the grace time has passed.
  const boundAt = Math.max(
    acknowledgedAt + evacuationGraceMilliseconds,
    wokenAt + contactMilliseconds * 2,
  );
  await pause(boundAt + 6000 - performance.now());
  traffic.stop();
  const late = runs.filter((each) => each.zone === zone && each.at > boundAt);
  for (const { id, worker } of late.slice(0, 20)) {
    record.write(`${id} ran at ${worker} in the evacuated zone ${zone}`);
  }
  record.write(
    `${traffic.served} requests served; ${late.length} ran in ${zone} later than 5 s after its evacuation was acknowledged, with all machines in touch`,
  );
  for (const worker of workers) worker.crash();
  return late.length === 0;
});

async function startWorkers(runs) {
  const zones = Object.keys(deployment.zones).flatMap((each) =>
    Array.from({ length: workersPerZone }, () => each)
  );
  return await Promise.all(zones.map(async (zoneName, at) => {
    const worker = new Worker({
      id: `w${at}`,
      service: "chart",
      zone: zoneName,
      address: deployment.workerAddress(at),
      control: deployment.controlAddresses,
      run: async (_request, response, { id }) => {
        runs.push({
          id,
          zone: zoneName,
          worker: worker.id,
          at: performance.now(),
        });
        await pause(50);
        response.writeHead(200, worker.headers(id));
        response.end("chart");
      },
    });
    await worker.start(heartbeatSeconds);
    return worker;
  }));
}

function startTraffic() {
  const traffic = { served: 0, stop: () => clearInterval(timer) };
  let sent = 0;
  const timer = setInterval(async () => {
    const { gateways } = deployment;
    const { status } = await exchange({
      address: gateways[sent++ % gateways.length].address(Port.front),
      method: "GET",
      path: "/chart/a",
      headers: clientHeaders(),
    });
    if (status === 200) traffic.served += 1;
  }, 30);
  return traffic;
}
