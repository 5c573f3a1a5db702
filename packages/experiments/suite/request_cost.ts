import { setTimeout as pause } from "node:timers/promises";
import type { Experiment, Figure } from "../experiment.ts";
import { host, MeasuredGateway } from "../measured_gateway.ts";
import { PacedCaller } from "../paced_caller.ts";

const connections = 20;
const warmUpMilliseconds = 4000;
const milliseconds = 500;
const rounds = 25;
/** Rounds with the smallest costs, of which the mean is taken. */
const smallestCount = 3;
/** A limited workspace has a few requests served in each window. */
const minimumShare = 0.95;
const smallBytes = 500;
const largeBytes = 256 * 1024;
/** Kinds to be measured, separated by commas; all kinds if it is not set. */
const selectionVariable = "REQUEST_COST_KINDS";

const workspaces = {
  served: { key: "key-of-served", perSecond: 1_000_000 },
  limited: { key: "key-of-limited", perSecond: 0.1 },
} as const;

/** One kind of request. */
interface Kind {
  readonly name: string;
  readonly route: "small" | "large";
  readonly key: (number: number) => string;
  readonly status: number;
  readonly perSecond: number;
  readonly pipelined?: number;
}

const kinds: readonly Kind[] = [
  {
    name: "rejected with 401",
    route: "small",
    key: (number) => `wrong-${number}`,
    status: 401,
    perSecond: 1000,
  },
  {
    name: "rejected with 429",
    route: "small",
    key: () => workspaces.limited.key,
    status: 429,
    perSecond: 1000,
  },
  {
    name: "served small",
    route: "small",
    key: () => workspaces.served.key,
    status: 200,
    perSecond: 500,
  },
  {
    name: "served large",
    route: "large",
    key: () => workspaces.served.key,
    status: 200,
    perSecond: 100,
  },
  {
    name: "pipelined",
    route: "small",
    key: () => workspaces.served.key,
    status: 200,
    perSecond: 500,
    pipelined: 4,
  },
];

/**
 * Measures the processor time that a gateway uses for a request. Load
 * generator, targets and control run in other processes. The kinds are measured
 * in turn, in short rounds; other load on the machine only adds to a measurement,
 * so that the smallest ones are taken.
 */
export const requestCostExperiment: Experiment = {
  summary: "processor time that a gateway uses for a request, by kind",
  async run({ progress }) {
    const selected = selectKinds();
    const gateway = await MeasuredGateway.start({
      routes: { small: smallBytes, large: largeBytes },
      workspaces,
    });
    try {
      const caller = await PacedCaller.connect({
        ...gateway.address,
        connections,
      });
      for (const kind of selected) await send(caller, kind, warmUpMilliseconds);
      progress("warmed up");
      const idle: number[] = [];
      const costs = new Map(selected.map((kind) => [kind, [] as number[]]));
      for (let round = 0; round < rounds; round += 1) {
        idle.push(await measure(gateway, () => pause(milliseconds)));
        for (const [kind, measured] of costs) {
          let total = 0;
          const used = await measure(gateway, async () => {
            const sent = await send(caller, kind, milliseconds);
            if (!sent.isExpected) {
              throw new Error(`${kind.name}: ${JSON.stringify(sent.counts)}`);
            }
            total = sent.total;
          });
          measured.push((used - medianOf(idle)) / total);
        }
        progress(`round ${round + 1} of ${rounds} measured`);
      }
      caller.close();
      return { figures: createFigures(costs, idle) };
    } finally {
      await gateway.stop();
    }
  },
};

function selectKinds(): readonly Kind[] {
  const selection = process.env[selectionVariable]?.split(",");
  return selection
    ? kinds.filter(({ name }) => selection.includes(name))
    : kinds;
}

// A connection to a target carries an ID once, so that a repeated one would cost
// a new connection.
let nextId = 0;

async function send(
  caller: PacedCaller,
  kind: Kind,
  milliseconds: number,
) {
  const { route, key, status, perSecond, pipelined } = kind;
  const counts = await caller.send({
    encode: (number) =>
      `GET /${route}/${number} HTTP/1.1\r\nhost: ${host}\r\n` +
      `x-request-id: r${nextId++}\r\nx-deadline-ms: 2000\r\n` +
      `authorization: Bearer ${key(number)}\r\n\r\n`,
    perSecond,
    milliseconds,
    ...(pipelined !== undefined && { pipelined }),
  });
  const total = Object.values(counts).reduce((sum, each) => sum + each, 0);
  return {
    total,
    isExpected: (counts[status] ?? 0) >= minimumShare * total,
    counts,
  };
}

/** Returns the microseconds that the gateway uses during some work. */
async function measure(
  gateway: MeasuredGateway,
  work: () => Promise<void>,
): Promise<number> {
  const before = gateway.readProcessorMicroseconds();
  await work();
  return gateway.readProcessorMicroseconds() - before;
}

function createFigures(
  costs: ReadonlyMap<Kind, readonly number[]>,
  idle: readonly number[],
): readonly Figure[] {
  const figures: Figure[] = [{
    name: "gateway without requests",
    value: medianOf(idle) / milliseconds,
    unit: "ms/s",
  }];
  for (const [{ name }, measured] of costs) {
    const smallest = sorted(measured).slice(0, smallestCount);
    figures.push(
      {
        name,
        value: smallest.reduce((sum, each) => sum + each, 0) / smallest.length,
        unit: "µs",
      },
      { name: `${name}, median`, value: medianOf(measured), unit: "µs" },
    );
  }
  return figures;
}

function medianOf(values: readonly number[]): number {
  return sorted(values)[Math.floor(values.length / 2)]!;
}

function sorted(values: readonly number[]): readonly number[] {
  return values.toSorted((one, other) => one - other);
}
