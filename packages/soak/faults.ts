import type { Program } from "./program.ts";
import type { SoakTarget } from "./soak_target.ts";

/** What may be disturbed. */
export interface Disturbed {
  readonly control: readonly Program[];
  readonly gateways: readonly Program[];
  readonly targets: readonly SoakTarget[];
  /** Between 0 and 1. */
  readonly random: () => number;
}

/** A fault that has begun; heals what it did. */
interface Fault {
  readonly text: string;
  readonly heal: () => Promise<void> | void;
}

/** Between two faults; they last longer than that, so that they overlap. */
const leastGapMilliseconds = 300;
const gapSpreadMilliseconds = 900;
const leastLengthMilliseconds = 300;
const lengthSpreadMilliseconds = 2500;

/** Disturbs a fleet from outside by a seeded plan, one control VM at a time. */
export class Faults {
  readonly log: string[] = [];
  readonly #disturbed: Disturbed;
  readonly #healing = new Set<Promise<void>>();
  readonly #busy = new Set<unknown>();
  #isControlDisturbed = false;

  constructor(disturbed: Disturbed) {
    this.#disturbed = disturbed;
  }

  /** Causes faults until the time is over, and heals them all. */
  async run(milliseconds: number): Promise<void> {
    const { random } = this.#disturbed;
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      this.#cause();
      await pause(leastGapMilliseconds + random() * gapSpreadMilliseconds);
    }
    await Promise.all(this.#healing);
  }

  #cause(): void {
    const { random } = this.#disturbed;
    const subject = this.#pick();
    if (subject === undefined) return;
    const { fault, isControl } = subject;
    this.log.push(fault.text);
    const healed = pause(
      leastLengthMilliseconds + random() * lengthSpreadMilliseconds,
    ).then(fault.heal).then(() => {
      this.#busy.delete(subject.of);
      if (isControl) this.#isControlDisturbed = false;
      this.#healing.delete(healed);
    });
    this.#healing.add(healed);
  }

  #pick():
    | {
      readonly of: unknown;
      readonly fault: Fault;
      readonly isControl: boolean;
    }
    | undefined {
    const { control, gateways, targets, random } = this.#disturbed;
    const choice = random();
    if (choice < 0.3) {
      if (this.#isControlDisturbed) return undefined;
      this.#isControlDisturbed = true;
      const program = pickOf(control, random);
      return { of: program, fault: this.#ofProgram(program), isControl: true };
    }
    const of = choice < 0.5
      ? pickOf(gateways, random)
      : pickOf(targets, random);
    if (this.#busy.has(of)) return undefined;
    this.#busy.add(of);
    const fault = "crash" in of ? this.#ofTarget(of) : this.#ofProgram(of);
    return { of, fault, isControl: false };
  }

  #ofProgram(program: Program): Fault {
    const choice = this.#disturbed.random();
    if (choice < 0.4) {
      program.signal("SIGKILL");
      return { text: `kill ${program.name}`, heal: () => program.start() };
    }
    if (choice < 0.75) {
      program.signal("SIGSTOP");
      return {
        text: `pause ${program.name}`,
        heal: () => program.signal("SIGCONT"),
      };
    }
    const ended = program.end("SIGTERM");
    return {
      text: `stop ${program.name}`,
      heal: () => ended.then(() => program.start()),
    };
  }

  #ofTarget(target: SoakTarget): Fault {
    const choice = this.#disturbed.random();
    if (choice < 0.3) {
      target.crash();
      return { text: `crash ${target.name}`, heal: () => target.start() };
    }
    if (choice < 0.65) {
      target.isCut = true;
      return {
        text: `cut ${target.name} off control`,
        heal: () => {
          target.isCut = false;
        },
      };
    }
    target.lostShare = 0.3;
    return {
      text: `lose answers of ${target.name}`,
      heal: () => {
        target.lostShare = 0;
      },
    };
  }
}

function pickOf<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)]!;
}

/** Waits. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
