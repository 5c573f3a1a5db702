import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as faults from "./process_faults.ts";
import type { ServerProcess } from "./server_process.ts";
import type { SoakTarget } from "./soak_target.ts";
import { injectTargetFault } from "./target_faults.ts";

/** Processes and targets into which faults are injected. */
export interface FaultSubjects {
  readonly control: readonly ServerProcess[];
  readonly gateways: readonly ServerProcess[];
  readonly targets: readonly SoakTarget[];
  /** Called when a process becomes faulty and when it is repaired. */
  readonly onProcessFault: (name: string, isFaulty: boolean) => void;
  /** Called when a process is paused. */
  readonly onPause: (name: string) => void;
  /** Called when a planned stop of a process begins. */
  readonly onStop: (name: string) => void;
  /** A gateway that is paused from the start until a promise resolves. */
  readonly longPause?: {
    readonly gateway: ServerProcess;
    readonly waitUntilOver: () => Promise<void>;
  };
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** A fault that has been injected and the function that repairs it. */
export interface Fault {
  readonly description: string;
  readonly repair: () => Promise<void> | void;
}

type Random = () => number;

/** Faults of one process. */
const ProcessFaultKind = {
  kill: "kill",
  pause: "pause",
  stop: "stop",
  signalEarly: "restart with early signals",
  stopWithSignals: "stop with further signals",
  reload: "reload repeatedly",
  restart: "restart repeatedly",
} as const;
type ProcessFaultKind = typeof ProcessFaultKind[keyof typeof ProcessFaultKind];

/** Faults of all control VMs. */
const ControlFaultKind = {
  killTogether: "kill together",
  restartInTurn: "restart in turn",
} as const;
type ControlFaultKind = typeof ControlFaultKind[keyof typeof ControlFaultKind];

/** Faults that each run injects, in random order and places. */
const plannedKinds = [
  ProcessFaultKind.stop,
  ProcessFaultKind.signalEarly,
  ProcessFaultKind.stopWithSignals,
  ProcessFaultKind.reload,
  ProcessFaultKind.restart,
] as const;
/** Share of these that control VMs get. */
const plannedControlShare = 0.4;
const controlShare = 0.3;
const gatewayShare = 0.2;
const allControlShare = 0.3;
/** Gaps between faults are shorter than most faults, so that faults overlap. */
const minimumGapMilliseconds = 300;
const gapSpreadMilliseconds = 900;
const minimumDurationMilliseconds = 300;
const durationSpreadMilliseconds = 2500;

/**
 * Injects faults into a fleet by a seeded schedule, with at most one fault of
 * control VMs at a time.
 */
export class FaultInjector {
  /** Descriptions of the injected faults in order, with their moments. */
  readonly log: string[] = [];
  readonly #subjects: FaultSubjects;
  readonly #pendingRepairs = new Set<Promise<void>>();
  readonly #faultySubjects = new Set<unknown>();
  readonly #plannedKinds: ProcessFaultKind[];
  #isControlFaulty = false;

  constructor(subjects: FaultSubjects) {
    this.#subjects = subjects;
    this.#plannedKinds = shuffle(plannedKinds, subjects.random);
  }

  /** Injects faults for the given time and waits until all are repaired. */
  async run(milliseconds: number): Promise<void> {
    const { random } = this.#subjects;
    const until = performance.now() + milliseconds;
    this.#pauseLong();
    while (performance.now() < until) {
      this.#injectPlannedFault();
      this.#injectFault();
      await delay(minimumGapMilliseconds + random() * gapSpreadMilliseconds);
    }
    await Promise.all(this.#pendingRepairs);
  }

  #injectPlannedFault(): void {
    const kind = this.#plannedKinds.pop();
    if (kind === undefined) return;
    const { control, gateways, random } = this.#subjects;
    if (random() < plannedControlShare && !this.#isControlFaulty) {
      return this.#injectControlFault(selectRandom(control, random), kind);
    }
    const gateway = selectRandom(gateways, random);
    if (!this.#faultySubjects.has(gateway)) {
      return this.#injectGatewayFault(gateway, kind);
    }
    this.#plannedKinds.push(kind);
  }

  #pauseLong(): void {
    const { longPause } = this.#subjects;
    if (!longPause) return;
    const { gateway, waitUntilOver } = longPause;
    gateway.signal("SIGSTOP");
    this.#injectOneGatewayFault(gateway, {
      description: `pause ${gateway.name} for long`,
      repair: () => gateway.signal("SIGCONT"),
    }, waitUntilOver());
  }

  #injectFault(): void {
    const { control, gateways, targets, random } = this.#subjects;
    const choice = random();
    if (choice < controlShare) {
      if (this.#isControlFaulty) return;
      if (random() < allControlShare) return this.#injectAllControlFault();
      const subject = selectRandom(control, random);
      return this.#injectControlFault(subject, selectKind(random));
    }
    if (choice < controlShare + gatewayShare) {
      const subject = selectRandom(gateways, random);
      if (this.#faultySubjects.has(subject)) return;
      return this.#injectGatewayFault(subject, selectKind(random));
    }
    const target = selectRandom(targets, random);
    if (this.#faultySubjects.has(target)) return;
    this.#faultySubjects.add(target);
    this.#repairLater(
      injectTargetFault(target, random),
      () => this.#faultySubjects.delete(target),
    );
  }

  #injectAllControlFault(): void {
    const { control, random } = this.#subjects;
    this.#isControlFaulty = true;
    const kind = selectRandom(Object.values(ControlFaultKind), random);
    this.#repairLater(
      createAllControlFault(control, kind),
      () => this.#isControlFaulty = false,
    );
  }

  #injectControlFault(subject: ServerProcess, kind: ProcessFaultKind): void {
    this.#isControlFaulty = true;
    this.#repairLater(
      this.#createProcessFault(subject, kind),
      () => this.#isControlFaulty = false,
    );
  }

  #injectGatewayFault(subject: ServerProcess, kind: ProcessFaultKind): void {
    const { onProcessFault } = this.#subjects;
    this.#faultySubjects.add(subject);
    onProcessFault(subject.name, true);
    this.#repairLater(
      this.#createProcessFault(subject, kind),
      () => this.#endGatewayFault(subject),
    );
  }

  #injectOneGatewayFault(
    subject: ServerProcess,
    fault: Fault,
    until: Promise<void>,
  ): void {
    this.#faultySubjects.add(subject);
    this.#subjects.onProcessFault(subject.name, true);
    this.#repairAfter(until, fault, () => this.#endGatewayFault(subject));
  }

  #endGatewayFault(subject: ServerProcess): void {
    this.#faultySubjects.delete(subject);
    this.#subjects.onProcessFault(subject.name, false);
  }

  #repairLater(fault: Fault, onRepaired: () => void): void {
    const { random } = this.#subjects;
    this.#repairAfter(
      delay(
        minimumDurationMilliseconds + random() * durationSpreadMilliseconds,
      ),
      fault,
      onRepaired,
    );
  }

  #repairAfter(
    wait: Promise<void>,
    fault: Fault,
    onRepaired: () => void,
  ): void {
    const seconds = (performance.now() / 1000).toFixed(3);
    this.log.push(`at ${seconds} s: ${fault.description}`);
    const repaired = wait.then(fault.repair).then(() => {
      onRepaired();
      this.#pendingRepairs.delete(repaired);
    });
    this.#pendingRepairs.add(repaired);
  }

  #createProcessFault(subject: ServerProcess, kind: ProcessFaultKind): Fault {
    const isStop = kind === ProcessFaultKind.stop ||
      kind === ProcessFaultKind.stopWithSignals;
    if (isStop) this.#subjects.onStop(subject.name);
    if (kind === ProcessFaultKind.pause) this.#subjects.onPause(subject.name);
    const performed = performProcessFault(
      subject,
      kind,
      createGenerator(this.#subjects.random),
    );
    return {
      description: `${kind} ${subject.name}`,
      repair: async () => {
        await performed;
        if (subject.isPaused) subject.signal("SIGCONT");
        if (subject.isStopping) await subject.waitUntilExited();
        subject.start();
      },
    };
  }
}

async function performProcessFault(
  subject: ServerProcess,
  kind: ProcessFaultKind,
  random: Random,
): Promise<void> {
  switch (kind) {
    case ProcessFaultKind.kill:
      return subject.signal("SIGKILL");
    case ProcessFaultKind.pause:
      return subject.signal("SIGSTOP");
    case ProcessFaultKind.stop:
      return await subject.end("SIGTERM");
    case ProcessFaultKind.signalEarly:
      return await faults.restartWithEarlySignals(subject, random);
    case ProcessFaultKind.stopWithSignals:
      return await faults.stopWithFurtherSignals(subject, random);
    case ProcessFaultKind.reload:
      return await faults.reloadRepeatedly(subject, random);
    case ProcessFaultKind.restart:
      return await faults.restartRepeatedly(subject, random);
  }
}

function createAllControlFault(
  control: readonly ServerProcess[],
  kind: ControlFaultKind,
): Fault {
  const performed = kind === ControlFaultKind.killTogether
    ? faults.killTogether(control)
    : faults.restartInTurn(control);
  return {
    description: `${kind}: all control VMs`,
    repair: () => performed,
  };
}

function selectKind(random: Random): ProcessFaultKind {
  return selectRandom(Object.values(ProcessFaultKind), random);
}

// Numbers of its own, so that waits don't change those of the schedule.
function createGenerator(random: Random): Random {
  const generator = xoroshiro128plus(Math.floor(random() * 2 ** 31));
  return () => (generator.next() >>> 0) / 2 ** 32;
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
  return items.map((item) => ({ item, order: random() }))
    .sort((first, second) => first.order - second.order)
    .map(({ item }) => item);
}

function selectRandom<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)]!;
}

/** Resolves after the given time. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
