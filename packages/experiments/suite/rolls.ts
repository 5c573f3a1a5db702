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
/** Every fourth roll is raced by another operator or resent. */
const disturbedEvery = 4;
const targetMilliseconds = 4000;
const keys = 20;

interface RollAnswer {
  readonly status: number;
  readonly version: number;
  readonly digest: string;
}

/** Rolls bundles under load and measures until each is in force everywhere. */
export const rollsExperiment: Experiment = {
  summary:
    "time until 200 rolls, some raced or resent, are in force on nine VMs",
  async run({ seed, progress }): Promise<ExperimentResult> {
    const deployment = await Deployment.start(hsinchu);
    try {
      const trial = new RollTrial(deployment, seed);
      await trial.prepare();
      for (let roll = 0; roll < rolls; roll += 1) {
        await trial.roll(roll % disturbedEvery === 0);
        if (roll % 50 === 49) progress(`${roll + 1} rolls`);
      }
      return { figures: await trial.figures() };
    } finally {
      await deployment.stop();
    }
  },
};

class RollTrial {
  readonly #deployment: Deployment;
  readonly #random: RandomSource;
  readonly #accepted: number[] = [];
  readonly #inForce: number[] = [];
  readonly #seen = new Map<string, number>();
  #version = 1;
  #wrongRolls = 0;
  #reverts = 0;
  #answers = 0;
  #wrongAnswers = 0;
  #running = true;
  #load: Promise<unknown> = Promise.resolve();

  constructor(deployment: Deployment, seed: number) {
    this.#deployment = deployment;
    this.#random = new RandomSource(seed);
  }

  async prepare(): Promise<void> {
    const deployment = this.#deployment;
    await deployment.roll();
    await addFixtureTargets(deployment);
    await deployment.until((status) =>
      status.groups.every((group) => group.withoutOwner === 0)
    );
    for (const vm of deployment.vmNames) await deployment.untilReady(vm);
    this.#load = Promise.all([this.#ask(), this.#ask(), this.#watch()]);
  }

  /** Rolls the next version; a disturbed roll is raced or resent. */
  async roll(isDisturbed: boolean): Promise<void> {
    this.#version += 1;
    const [own, other] = ["one", "two"].map((name) => this.#bundle(name));
    const isRaced = isDisturbed && this.#random.number() < 0.5;
    const second = isRaced ? other! : own!;
    const startedAt = performance.now();
    const answers = await Promise.all([
      this.#send(own!),
      ...(isDisturbed ? [this.#send(second)] : []),
    ]);
    this.#accepted.push(performance.now() - startedAt);
    this.#judge(answers, { own: own!, second });
    await this.#untilInForce();
    this.#inForce.push(performance.now() - startedAt);
  }

  async figures(): Promise<readonly Figure[]> {
    this.#running = false;
    await this.#load;
    const sorted = this.#inForce.toSorted((left, right) => left - right);
    const accepted = this.#accepted.toSorted((left, right) => left - right);
    return [
      {
        name: "roll until in force on all VMs, 99th percentile",
        value: percentile(sorted, 0.99),
        unit: "ms",
        baseline: percentile(accepted, 0.99),
        target: { atMost: targetMilliseconds },
      },
      {
        name: "roll until in force on all VMs, median",
        value: percentile(sorted, 0.5),
        unit: "ms",
        baseline: percentile(accepted, 0.5),
      },
      { name: "rolls", value: sorted.length, unit: "rolls" },
      zero("VMs seen to go back to a lower version", this.#reverts),
      zero("rolls answered wrongly", this.#wrongRolls),
      zero("callers answered wrongly", this.#wrongAnswers),
      { name: "callers answered", value: this.#answers, unit: "answers" },
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

  async #send(signed: SignedBundle): Promise<RollAnswer> {
    const vm = this.#random.pick(this.#deployment.vmNames);
    const address = this.#deployment.operatorsAddress(vm);
    const { statusCode, body } = await request(`http://${address}/bundle`, {
      method: "POST",
      body: JSON.stringify(signed),
    });
    const answer = await body.json() as Omit<RollAnswer, "status">;
    return { ...answer, status: statusCode };
  }

  /** One digest wins, and everyone is told of that one. */
  #judge(
    answers: readonly RollAnswer[],
    sent: { readonly own: SignedBundle; readonly second: SignedBundle },
  ): void {
    const digests = [sent.own, sent.second].map((each) =>
      bundleDigest(each.document)
    );
    const winner = answers.find((each) => each.status === 200)?.digest;
    const isRight = winner !== undefined &&
      answers.every((answer, index) =>
        answer.digest === winner && answer.version === this.#version &&
        answer.status === (digests[index] === winner ? 200 : 409)
      );
    if (!isRight) this.#wrongRolls += 1;
  }

  async #untilInForce(): Promise<void> {
    await this.#deployment.until(
      ({ bundle }) =>
        bundle?.version === this.#version && bundle.inForceEverywhere,
      10_000,
    );
  }

  /** Looks at the version that each VM routes by. */
  async #watch(): Promise<void> {
    while (this.#running) {
      for (const vm of this.#deployment.vmNames) {
        const version = await this.#versionAt(vm);
        if (version < (this.#seen.get(vm) ?? 0)) this.#reverts += 1;
        this.#seen.set(vm, version);
      }
      await pause(20);
    }
  }

  async #versionAt(vm: string): Promise<number> {
    const address = this.#deployment.operatorsAddress(vm);
    const { body } = await request(`http://${address}/bundle`);
    return (await body.json() as { readonly version?: number }).version ?? 0;
  }

  async #ask(): Promise<void> {
    while (this.#running) {
      const key = `clamp-${this.#random.integer(1, keys)}`;
      const answer = await this.#deployment.caller.send({
        vm: this.#deployment.callersAddress(
          this.#random.pick(this.#deployment.vmNames),
        ),
        method: "GET",
        path: `/fixtures/${key}`,
        tenant: "toolroom",
        key,
      });
      this.#answers += 1;
      if (answer.outcome !== "answered") this.#wrongAnswers += 1;
      await pause(10);
    }
  }
}

function zero(name: string, value: number): Figure {
  return { name, value, unit: "times", target: { atMost: 0 } };
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ]!;
}
