import { setTimeout as pause } from "node:timers/promises";
import { bundleDigest } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";
import { request } from "undici";
import { Deployment } from "../deployment.ts";
import type { Experiment, ExperimentResult, Figure } from "../experiment.ts";
import { addFixtureTargets } from "../fixture_targets.ts";
import { hsinchu } from "../hsinchu.ts";
import { RandomSource } from "../random_source.ts";

const rolls = 200;
/** Every fourth roll competes with another operator's roll or is sent twice. */
const disturbanceInterval = 4;
const inForceLimitMilliseconds = 4000;
const keyCount = 20;

interface RollResponse {
  readonly status: number;
  readonly version: number;
  readonly digest: string;
}

/** Measures how long bundle rolls under load take to be in force everywhere. */
export const rollsExperiment: Experiment = {
  summary:
    "time until rolls are in force on nine VMs, 200 rolls with some conflicts",
  async run({ seed, progress }): Promise<ExperimentResult> {
    const deployment = await Deployment.start(hsinchu);
    try {
      const trial = new RollTrial(deployment, seed);
      await trial.start();
      for (let roll = 0; roll < rolls; roll += 1) {
        await trial.roll(roll % disturbanceInterval === 0);
        if (roll % 50 === 49) progress(`${roll + 1} rolls`);
      }
      return { figures: await trial.stop() };
    } finally {
      await deployment.stop();
    }
  },
};

class RollTrial {
  readonly #deployment: Deployment;
  readonly #random: RandomSource;
  readonly #acceptMilliseconds: number[] = [];
  readonly #inForceMilliseconds: number[] = [];
  readonly #observedVersions = new Map<string, number>();
  #version = 1;
  #wrongRolls = 0;
  #reverts = 0;
  #responses = 0;
  #wrongResponses = 0;
  #isRunning = true;
  #backgroundTasks: Promise<unknown> = Promise.resolve();

  constructor(deployment: Deployment, seed: number) {
    this.#deployment = deployment;
    this.#random = new RandomSource(seed);
  }

  async start(): Promise<void> {
    const deployment = this.#deployment;
    await deployment.roll();
    await addFixtureTargets(deployment);
    await deployment.until((status) =>
      status.groups.every((group) => group.withoutOwner === 0)
    );
    for (const vm of deployment.vmNames) await deployment.untilReady(vm);
    this.#backgroundTasks = Promise.all([
      this.#sendRequests(),
      this.#sendRequests(),
      this.#observeVersions(),
    ]);
  }

  /** Rolls the next version; a disturbed roll is contested or sent twice. */
  async roll(isDisturbed: boolean): Promise<void> {
    this.#version += 1;
    const [own, other] = ["one", "two"].map((name) => this.#bundle(name));
    const isRaced = isDisturbed && this.#random.number() < 0.5;
    const second = isRaced ? other! : own!;
    const startedAt = performance.now();
    const responses = await Promise.all([
      this.#send(own!),
      ...(isDisturbed ? [this.#send(second)] : []),
    ]);
    this.#acceptMilliseconds.push(performance.now() - startedAt);
    this.#checkResponses(responses, { own: own!, second });
    await this.#untilInForce();
    this.#inForceMilliseconds.push(performance.now() - startedAt);
  }

  async stop(): Promise<readonly Figure[]> {
    this.#isRunning = false;
    await this.#backgroundTasks;
    const inForce = this.#inForceMilliseconds.toSorted((left, right) =>
      left - right
    );
    const accepted = this.#acceptMilliseconds.toSorted((left, right) =>
      left - right
    );
    return [
      {
        name: "roll until in force on all VMs, 99th percentile",
        value: percentile(inForce, 0.99),
        unit: "ms",
        baseline: percentile(accepted, 0.99),
        target: { atMost: inForceLimitMilliseconds },
      },
      {
        name: "roll until in force on all VMs, median",
        value: percentile(inForce, 0.5),
        unit: "ms",
        baseline: percentile(accepted, 0.5),
      },
      { name: "rolls", value: inForce.length, unit: "rolls" },
      zeroFigure("VMs seen to go back to a lower version", this.#reverts),
      zeroFigure("rolls answered wrongly", this.#wrongRolls),
      zeroFigure("callers answered wrongly", this.#wrongResponses),
      { name: "callers answered", value: this.#responses, unit: "answers" },
    ];
  }

  #bundle(name: string): SignedBundle {
    const content = hsinchu.content as { tenants: readonly object[] };
    return this.#deployment.signBundle(this.#version, {
      tenants: [...content.tenants, {
        name: `tenant-${name}`,
        weight: 1 + this.#version % 7,
      }],
    });
  }

  async #send(signed: SignedBundle): Promise<RollResponse> {
    const vm = this.#random.pick(this.#deployment.vmNames);
    const address = this.#deployment.operatorsAddress(vm);
    const { statusCode, body } = await request(`http://${address}/bundle`, {
      method: "POST",
      body: JSON.stringify(signed),
    });
    const response = await body.json() as Omit<RollResponse, "status">;
    return { ...response, status: statusCode };
  }

  /** Checks that one digest is accepted and that every response names it. */
  #checkResponses(
    responses: readonly RollResponse[],
    sent: { readonly own: SignedBundle; readonly second: SignedBundle },
  ): void {
    const digests = [sent.own, sent.second].map((each) =>
      bundleDigest(each.document)
    );
    const winningDigest = responses.find((each) => each.status === 200)?.digest;
    const isConsistent = winningDigest !== undefined &&
      responses.every((response, index) =>
        response.digest === winningDigest &&
        response.version === this.#version &&
        response.status === (digests[index] === winningDigest ? 200 : 409)
      );
    if (!isConsistent) this.#wrongRolls += 1;
  }

  async #untilInForce(): Promise<void> {
    await this.#deployment.until(
      ({ bundle }) =>
        bundle?.version === this.#version && bundle.inForceEverywhere,
      10_000,
    );
  }

  /** Polls the version that each VM routes by and counts reverts. */
  async #observeVersions(): Promise<void> {
    while (this.#isRunning) {
      for (const vm of this.#deployment.vmNames) {
        const version = await this.#versionAt(vm);
        if (version < (this.#observedVersions.get(vm) ?? 0)) this.#reverts += 1;
        this.#observedVersions.set(vm, version);
      }
      await pause(20);
    }
  }

  async #versionAt(vm: string): Promise<number> {
    const address = this.#deployment.operatorsAddress(vm);
    const { body } = await request(`http://${address}/bundle`);
    return (await body.json() as { readonly version?: number }).version ?? 0;
  }

  async #sendRequests(): Promise<void> {
    while (this.#isRunning) {
      const key = `clamp-${this.#random.integer(1, keyCount)}`;
      const response = await this.#deployment.caller.send({
        vm: this.#deployment.callersAddress(
          this.#random.pick(this.#deployment.vmNames),
        ),
        method: "GET",
        path: `/fixtures/${key}`,
        tenant: "toolroom",
        key,
      });
      this.#responses += 1;
      if (response.outcome !== "answered") this.#wrongResponses += 1;
      await pause(10);
    }
  }
}

function zeroFigure(name: string, value: number): Figure {
  return { name, value, unit: "times", target: { atMost: 0 } };
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ]!;
}
