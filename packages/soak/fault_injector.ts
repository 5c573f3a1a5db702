import type { ServerProcess } from "./server_process.ts";
import type { SoakTarget } from "./soak_target.ts";

/** Processes and targets into which faults are injected. */
export interface FaultSubjects {
  readonly control: readonly ServerProcess[];
  readonly gateways: readonly ServerProcess[];
  readonly targets: readonly SoakTarget[];
  /** Called when a process becomes faulty and when it is repaired. */
  readonly onProcessFault: (name: string, isFaulty: boolean) => void;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** An active fault and the function that repairs it. */
interface Fault {
  readonly description: string;
  readonly repair: () => Promise<void> | void;
}

/** Gaps between faults are shorter than most faults, so that faults overlap. */
const minimumGapMilliseconds = 300;
const gapSpreadMilliseconds = 900;
const minimumDurationMilliseconds = 300;
const durationSpreadMilliseconds = 2500;

/**
 * Injects faults into a fleet by a seeded schedule, with at most one faulty
 * control VM at a time.
 */
export class FaultInjector {
  /** Descriptions of the injected faults in order. */
  readonly log: string[] = [];
  readonly #subjects: FaultSubjects;
  readonly #pendingRepairs = new Set<Promise<void>>();
  readonly #faultySubjects = new Set<unknown>();
  #isControlFaulty = false;

  constructor(subjects: FaultSubjects) {
    this.#subjects = subjects;
  }

  /** Injects faults for the given time and waits until all are repaired. */
  async run(milliseconds: number): Promise<void> {
    const { random } = this.#subjects;
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      this.#injectFault();
      await delay(minimumGapMilliseconds + random() * gapSpreadMilliseconds);
    }
    await Promise.all(this.#pendingRepairs);
  }

  #injectFault(): void {
    const { random } = this.#subjects;
    const selected = this.#selectFault();
    if (selected === undefined) return;
    const { fault, isControl } = selected;
    this.log.push(fault.description);
    this.#reportFault(selected.subject, true);
    const repaired = delay(
      minimumDurationMilliseconds + random() * durationSpreadMilliseconds,
    ).then(fault.repair).then(() => {
      this.#faultySubjects.delete(selected.subject);
      this.#reportFault(selected.subject, false);
      if (isControl) this.#isControlFaulty = false;
      this.#pendingRepairs.delete(repaired);
    });
    this.#pendingRepairs.add(repaired);
  }

  #reportFault(subject: ServerProcess | SoakTarget, isFaulty: boolean): void {
    if ("crash" in subject) return;
    this.#subjects.onProcessFault(subject.name, isFaulty);
  }

  #selectFault():
    | {
      readonly subject: ServerProcess | SoakTarget;
      readonly fault: Fault;
      readonly isControl: boolean;
    }
    | undefined {
    const { control, gateways, targets, random } = this.#subjects;
    const choice = random();
    if (choice < 0.3) {
      if (this.#isControlFaulty) return undefined;
      this.#isControlFaulty = true;
      const serverProcess = selectRandom(control, random);
      return {
        subject: serverProcess,
        fault: this.#createProcessFault(serverProcess),
        isControl: true,
      };
    }
    const subject = choice < 0.5
      ? selectRandom(gateways, random)
      : selectRandom(targets, random);
    if (this.#faultySubjects.has(subject)) return undefined;
    this.#faultySubjects.add(subject);
    const fault = "crash" in subject
      ? this.#createTargetFault(subject)
      : this.#createProcessFault(subject);
    return { subject, fault, isControl: false };
  }

  #createProcessFault(serverProcess: ServerProcess): Fault {
    const choice = this.#subjects.random();
    if (choice < 0.4) {
      serverProcess.signal("SIGKILL");
      return {
        description: `kill ${serverProcess.name}`,
        repair: () => serverProcess.start(),
      };
    }
    if (choice < 0.75) {
      serverProcess.signal("SIGSTOP");
      return {
        description: `pause ${serverProcess.name}`,
        repair: () => serverProcess.signal("SIGCONT"),
      };
    }
    const ended = serverProcess.end("SIGTERM");
    return {
      description: `stop ${serverProcess.name}`,
      repair: () => ended.then(() => serverProcess.start()),
    };
  }

  #createTargetFault(target: SoakTarget): Fault {
    const choice = this.#subjects.random();
    if (choice < 0.3) {
      target.crash();
      return {
        description: `crash ${target.name}`,
        repair: () => target.start(),
      };
    }
    if (choice < 0.4) {
      target.isPausing = true;
      return {
        description: `pause requests to ${target.name}`,
        repair: () => {
          target.isPausing = false;
        },
      };
    }
    if (choice < 0.5) {
      target.isLeaving = true;
      return {
        description: `announce that ${target.name} leaves`,
        repair: () => {
          target.crash();
          return target.start();
        },
      };
    }
    if (choice < 0.75) {
      target.isIsolated = true;
      return {
        description: `isolate ${target.name} from control`,
        repair: () => {
          target.isIsolated = false;
        },
      };
    }
    target.lostResponseShare = 0.3;
    return {
      description: `lose responses of ${target.name}`,
      repair: () => {
        target.lostResponseShare = 0;
      },
    };
  }
}

function selectRandom<Item>(
  items: readonly Item[],
  random: () => number,
): Item {
  return items[Math.floor(random() * items.length)]!;
}

/** Resolves after the given time. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
