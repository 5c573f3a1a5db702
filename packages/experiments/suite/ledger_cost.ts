import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { claimOf, contentDigest, LedgerShard } from "@kingcupglade/ledger";
import { request } from "undici";
import { Deployment } from "../deployment.ts";
import type { Experiment, Figure } from "../experiment.ts";
import { hsinchu } from "../hsinchu.ts";

const recordCounts = [10_000, 30_000, 90_000];
const requestCounts = [500, 1500, 4500];
const concurrency = 16;
const microsecondsPerMillisecond = 1000;

/** Measures memory, processor time and messages per claim. */
export const ledgerCostExperiment: Experiment = {
  summary: "memory, processor time and messages per claimed request",
  async run({ progress }) {
    const memoryFigures = recordCounts.map(memoryFigure);
    progress("memory measured");
    return { figures: [...memoryFigures, ...await requestFigures(progress)] };
  },
};

function memoryFigure(records: number): Figure {
  const collectGarbage = exposeGarbageCollector();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const shard = new LedgerShard({
    retentionMilliseconds: 1,
    maximumRecords: records,
    maximumBytes: Infinity,
  });
  shard.assign({ part: "holder", epoch: 1, since: 1, foundedAt: 1 }, 0);
  for (let index = 0; index < records; index += 1) {
    const { id } = claimOf({
      service: "fixture-stock",
      tenant: "toolroom",
      idempotencyKey: `reservation-${index}`,
    });
    const content = contentDigest({
      method: "POST",
      path: `/fixtures/clamp-${index}`,
      body: Buffer.alloc(64),
    });
    shard.claim(id, content, 0);
    shard.settle(id, {
      state: "done",
      content,
      answer: {
        status: 200,
        headers: {
          "content-type": "application/json",
          "kingcupglade-outcome": "answered",
        },
        body: new Uint8Array(64),
      },
    }, 0);
  }
  collectGarbage();
  const used = process.memoryUsage();
  return {
    name: `memory of a claim, ${records} claims`,
    value: (used.heapUsed - before) / shard.size,
    unit: "bytes",
  };
}

async function requestFigures(
  progress: (line: string) => void,
): Promise<readonly Figure[]> {
  const deployment = await Deployment.start(hsinchu);
  try {
    await deployment.roll();
    for (let index = 0; index < 12; index += 1) {
      await deployment.addTarget({
        name: `fixture-${index + 1}`,
        service: "fixture-stock",
        dataCentre: hsinchu.dataCentres[index % 6]!.name,
      });
    }
    await deployment.until((status) =>
      status.vms.length === 9 &&
      status.groups.every((group) => group.withoutOwner === 0)
    );
    await measureRequests(deployment, { count: 500, keyed: true });
    const figures: Figure[] = [];
    for (const count of requestCounts) {
      const withoutClaim = await measureRequests(deployment, {
        count,
        keyed: false,
      });
      const withClaim = await measureRequests(deployment, {
        count,
        keyed: true,
      });
      progress(`${count} requests measured`);
      figures.push(
        {
          name: `processor time of all VMs, targets and callers, ${count}`,
          value: withClaim.microseconds,
          baseline: withoutClaim.microseconds,
          unit: "µs per request",
        },
        {
          name: `ledger batches, ${count}`,
          value: withClaim.batches,
          baseline: withoutClaim.batches,
          unit: "per request",
        },
        {
          name: `mean latency, ${count}`,
          value: withClaim.milliseconds,
          baseline: withoutClaim.milliseconds,
          unit: "ms",
        },
      );
    }
    return figures;
  } finally {
    await deployment.stop();
  }
}

async function measureRequests(
  deployment: Deployment,
  load: { readonly count: number; readonly keyed: boolean },
) {
  const batchesBefore = await countBatches(deployment);
  const cpuBefore = process.cpuUsage();
  let milliseconds = 0;
  let next = 0;
  const run = load.keyed ? `run-${performance.now()}` : "";
  const runCaller = async () => {
    while (next < load.count) {
      const index = next++;
      const response = await deployment.caller.send({
        vm: deployment.callersAddress(deployment.vmNames[index % 9]!),
        method: "POST",
        path: `/fixtures/clamp-${index % 200}`,
        tenant: "toolroom",
        key: `clamp-${index % 200}`,
        ...(load.keyed ? { idempotencyKey: `${run}-${index}` } : {}),
      });
      milliseconds += response.milliseconds;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runCaller));
  const cpu = process.cpuUsage(cpuBefore);
  return {
    microseconds: (cpu.user + cpu.system) / load.count,
    batches: (await countBatches(deployment) - batchesBefore) / load.count,
    milliseconds: Math.round(
      milliseconds / load.count * microsecondsPerMillisecond,
    ) / microsecondsPerMillisecond,
  };
}

async function countBatches(deployment: Deployment): Promise<number> {
  let total = 0;
  for (const vm of deployment.vmNames) {
    const response = await request(
      `http://${deployment.operatorsAddress(vm)}/metrics`,
    );
    const text = await response.body.text();
    total += Number(
      /^kingcupglade_ledger_batches_total (\d+)/m.exec(text)?.[1] ?? 0,
    );
  }
  return total;
}

function exposeGarbageCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}
