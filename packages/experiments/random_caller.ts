import { setTimeout as pause } from "node:timers/promises";
import type { CallerRequest } from "@kingcupglade/fakes";
import type { Deployment } from "./deployment.ts";
import type { RandomSource } from "./random_source.ts";

const keyCount = 24;
const tenants = ["toolroom", "engineers", "taichung-plant"];
const maximumSends = 3;

/** Options of {@link runCaller}. */
export interface RandomCallerOptions {
  readonly deployment: Deployment;
  readonly random: RandomSource;
  /** VMs that the platform's load balancer currently excludes. */
  readonly unready: ReadonlySet<string>;
  /** Monotonic time at which the caller stops, in milliseconds. */
  readonly until: number;
  /** Whether the caller resends requests with an Idempotency-Key. */
  readonly resends: boolean;
}

/** Sends random lookups and reservations, one at a time, until a given time. */
export async function runCaller(options: RandomCallerOptions): Promise<void> {
  let next = 1;
  const name = options.random.integer(0, 1 << 30);
  while (performance.now() < options.until) {
    const request = drawRequest(options.random);
    const hasIdempotencyKey = options.resends && request.method === "POST" &&
      options.random.number() < 0.5;
    await sendUntilAnswered(options, {
      ...request,
      ...(hasIdempotencyKey
        ? { idempotencyKey: `operation-${name}-${next++}` }
        : {}),
    });
    await pause(options.random.exponential(10));
  }
}

async function sendUntilAnswered(
  options: RandomCallerOptions,
  request: Omit<CallerRequest, "vm">,
): Promise<void> {
  const { deployment, random, unready } = options;
  const sends = request.idempotencyKey === undefined ? 1 : maximumSends;
  for (let attempt = 0; attempt < sends; attempt += 1) {
    const ready = deployment.vmNames.filter((vm) => !unready.has(vm));
    const { outcome } = await deployment.caller.send({
      ...request,
      vm: deployment.callersAddress(random.pick(ready)),
    });
    // One in five answered requests is resent, as by a caller that lost the
    // response.
    if (outcome === "answered" && random.number() < 0.8) return;
  }
}

function drawRequest(random: RandomSource): Omit<CallerRequest, "vm"> {
  const tenant = random.pick(tenants);
  const key = `clamp-${random.integer(1, keyCount)}`;
  const draw = random.number();
  if (draw < 0.3) {
    return { method: "GET", path: `/drawings/${key}`, tenant, key };
  }
  const method = draw < 0.5 ? "GET" : "POST";
  return { method, path: `/fixtures/${key}`, tenant, key };
}
