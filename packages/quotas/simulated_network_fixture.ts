import { encodeValue } from "@kingcupglade/protocol";
import { Clock } from "@kingcupglade/tasks";

/** Bytes of a call beyond its content: headers of TCP, HTTP/2 and the call. */
const overheadBytes = 120;

/** Events in simulated time, in whole milliseconds. */
export class Schedule extends Clock {
  #now = 0;
  readonly #events = new Map<number, (() => void)[]>();

  override now(): number {
    return this.#now;
  }

  after(milliseconds: number, event: () => void): void {
    const at = this.#now + Math.max(1, Math.ceil(milliseconds));
    const events = this.#events.get(at) ?? [];
    this.#events.set(at, events);
    events.push(event);
  }

  runUntil(end: number): void {
    while (this.#now < end) {
      this.#now += 1;
      const events = this.#events.get(this.#now) ?? [];
      this.#events.delete(this.#now);
      for (const event of events) event();
    }
  }
}

/** A clock that runs faster or slower than the schedule. */
export class DriftingClock extends Clock {
  readonly #schedule: Schedule;
  readonly #rate: number;

  constructor(schedule: Schedule, rate: number) {
    super();
    this.#schedule = schedule;
    this.#rate = rate;
  }

  override now(): number {
    return this.#schedule.now() * this.#rate;
  }
}

/** Network whose messages take time and may be lost; VMs may be cut off. */
export class SimulatedNetwork {
  readonly schedule = new Schedule();
  readonly random: () => number;
  /** Names of VMs that receive and send nothing. */
  readonly isolated = new Set<string>();
  /** When VMs that are paused go on. */
  readonly pausedUntil = new Map<string, number>();
  /** Share of the messages that are lost. */
  loss = 0;
  /** Longest additional latency, in milliseconds, which reorders messages. */
  jitterMilliseconds = 1;
  messages = 0;
  bytes = 0;

  constructor(random: () => number) {
    this.random = random;
  }

  /** Counts a message that the watch carries anyway by its bytes alone. */
  sendAlong(from: string, to: string, content: unknown, run: () => void): void {
    this.bytes += encodeValue(content).length;
    this.#deliver(from, to, run);
  }

  send(from: string, to: string, content: unknown, run: () => void): void {
    this.messages += 1;
    this.bytes += encodeValue(content).length + overheadBytes;
    this.#deliver(from, to, run);
  }

  /** Runs an event at a VM, after its pause if it is paused. */
  at(vm: string, milliseconds: number, run: () => void): void {
    this.schedule.after(milliseconds, () => {
      const left = (this.pausedUntil.get(vm) ?? 0) - this.schedule.now();
      if (left > 0) this.at(vm, left, run);
      else run();
    });
  }

  #deliver(from: string, to: string, run: () => void): void {
    const isLost = this.random() < this.loss;
    if (isLost || this.isolated.has(from) || this.isolated.has(to)) return;
    // Half of the gateways are in another region than the leader.
    const isNear = from.length % 2 === to.length % 2;
    const latency = (isNear ? 1 : 8) + this.random() * this.jitterMilliseconds;
    this.at(to, latency, () => {
      if (!this.isolated.has(to)) run();
    });
  }
}
