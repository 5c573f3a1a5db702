import type { VmOptions } from "kingcupglade";
import { Agent, request } from "undici";
import { Deployment } from "./deployment.ts";
import type { ExampleTarget } from "./example.ts";
import { runLoad } from "./load.ts";
import type { LoadResult } from "./load.ts";
import { tavares, tavaresTargets } from "./tavares.ts";

/** Round trip between data centres of different regions. */
const regionRoundTripMilliseconds = 16;
/** Round trip between data centres of one region. */
const dataCentreRoundTripMilliseconds = 1;
const warmUpSeconds = 3;

/** Options of {@link startSharedService}. */
export interface SharedServiceOptions {
  /** Overrides of the policy of each VM, for measurements. */
  readonly policy?: (vm: string) => VmOptions["policy"];
  /** Time that a target takes to serve a request. */
  readonly serviceMilliseconds: number;
}

/** The Tavares deployment with its order desk service. */
export interface SharedService {
  readonly deployment: Deployment;
  load(options: {
    readonly perSecond: number;
    readonly seconds: number;
    readonly seed: number;
  }): Promise<LoadResult>;
  /** Returns the sum of a metric over all VMs. */
  sumMetric(name: string): Promise<number>;
  stop(): Promise<void>;
}

/** Starts the nine VMs of Tavares and the targets of its order desk. */
export async function startSharedService(
  options: SharedServiceOptions,
): Promise<SharedService> {
  const deployment = await Deployment.start({
    ...tavares,
    ...(options.policy ? { policy: options.policy } : {}),
  });
  await deployment.roll();
  const targets = tavaresTargets.filter((each) =>
    each.service === "order-desk"
  );
  await Promise.all(targets.map((target) =>
    deployment.addTarget({
      ...target,
      serviceMilliseconds: options.serviceMilliseconds,
      cancelsOnDisconnect: true,
      roundTripMilliseconds: (sender) =>
        networkDelay(deployment, { target, sender }),
    })
  ));
  await deployment.until((status) => status.targets.length === targets.length);
  await Promise.all(
    deployment.vmNames.map((vm) => deployment.untilReady(vm)),
  );
  const agent = new Agent({ connections: 128 });
  const service: SharedService = {
    deployment,
    load: (load) =>
      runLoad({
        ...load,
        send: (index, random) =>
          sendOrder(deployment, {
            agent,
            index,
            vm: random.pick(deployment.vmNames),
          }),
      }),
    sumMetric: (name) => sumMetric(deployment, name),
    stop: async () => {
      await agent.destroy();
      await deployment.stop();
    },
  };
  await service.load({ perSecond: 200, seconds: warmUpSeconds, seed: 1 });
  return service;
}

function networkDelay(
  deployment: Deployment,
  link: { readonly target: ExampleTarget; readonly sender: string },
): number {
  const from = deployment.dataCentreOf(link.sender);
  const to = tavares.dataCentres.find((each) =>
    each.name === link.target.dataCentre
  );
  if (!from || !to || from.name === to.name) return 0;
  return from.region === to.region
    ? dataCentreRoundTripMilliseconds
    : regionRoundTripMilliseconds;
}

async function sendOrder(
  deployment: Deployment,
  order: {
    readonly agent: Agent;
    readonly index: number;
    readonly vm: string;
  },
): Promise<string> {
  const { statusCode, headers, body } = await request(
    `http://${deployment.callersAddress(order.vm)}/orders/${order.index}`,
    {
      dispatcher: order.agent,
      headers: { "x-tenant": "kennels", "x-request": String(order.index) },
    },
  );
  await body.dump();
  return statusCode === 200
    ? "answered"
    : String(headers["kingcupglade-reason"] ?? statusCode);
}

async function sumMetric(
  deployment: Deployment,
  name: string,
): Promise<number> {
  const values = await Promise.all(deployment.vmNames.map(async (vm) => {
    const { body } = await request(
      `http://${deployment.operatorsAddress(vm)}/metrics`,
    );
    const text = await body.text();
    return text.split("\n")
      .filter((line) =>
        line.startsWith(`${name} `) || line.startsWith(`${name}{`)
      )
      .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
  }));
  return values.reduce((sum, value) => sum + value, 0);
}
