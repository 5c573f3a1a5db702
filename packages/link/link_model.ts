/** Runs functions at simulated times, in milliseconds. */
export class Simulation {
  #now = 0;
  #sequence = 0;
  /** Binary heap by time, then by order of scheduling. */
  readonly #heap: { at: number; order: number; run: () => void }[] = [];

  get now(): number {
    return this.#now;
  }

  schedule(delay: number, run: () => void): void {
    const heap = this.#heap;
    heap.push({ at: this.#now + delay, order: this.#sequence++, run });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) break;
      [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
      index = parent;
    }
  }

  runUntil(end: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
      const next = this.#pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = end;
  }

  #pop() {
    const heap = this.#heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    heap[0] = last;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
          least = child;
        }
      }
      if (least === index) return top;
      [heap[index], heap[least]] = [heap[least]!, heap[index]!];
      index = least;
    }
  }
}

interface Scheduled {
  readonly at: number;
  readonly order: number;
}

function isBefore(left: Scheduled, right: Scheduled): boolean {
  return left.at === right.at ? left.order < right.order : left.at < right.at;
}

/** One direction of a link: a queue that is served at a rate, first in first out. */
export class LinkDirection {
  readonly #simulation: Simulation;
  readonly #bytesPerMillisecond: number;
  #busyUntil = 0;

  constructor(simulation: Simulation, megabitsPerSecond: number) {
    this.#simulation = simulation;
    this.#bytesPerMillisecond = megabitsPerSecond * 125;
  }

  /** Milliseconds that a message waits which is sent now. */
  get delay(): number {
    return Math.max(0, this.#busyUntil - this.#simulation.now);
  }

  /** Sends a message; packets have headers of 4 %, and at least 60 bytes. */
  send(bytes: number, arrived: () => void): void {
    const { now } = this.#simulation;
    const onWire = bytes * 1.04 + 60;
    this.#busyUntil = Math.max(now, this.#busyUntil) +
      onWire / this.#bytesPerMillisecond;
    this.#simulation.schedule(this.#busyUntil - now, arrived);
  }
}

/** Bytes that are sent at a time. */
const segmentBytes = 4096;
/** Bytes that a sender has on their way or unread at most. */
const windowBytes = 64 * 1024;

/** Bytes of one connection that are sent as the receiver reads them. */
export class Flow {
  readonly #link: LinkDirection;
  readonly #received: (bytes: number) => void;
  #unsent = 0;
  #inFlight = 0;
  #unread = 0;
  #isPaused = false;
  #isCancelled = false;

  constructor(link: LinkDirection, received: (bytes: number) => void) {
    this.#link = link;
    this.#received = received;
  }

  write(bytes: number): void {
    this.#unsent += bytes;
    this.#push();
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.#read();
    this.#push();
  }

  cancel(): void {
    this.#isCancelled = true;
  }

  #push(): void {
    while (
      !this.#isCancelled && this.#unsent > 0 &&
      this.#inFlight + this.#unread < windowBytes
    ) {
      const bytes = Math.min(segmentBytes, this.#unsent);
      this.#unsent -= bytes;
      this.#inFlight += bytes;
      this.#link.send(bytes, () => {
        this.#inFlight -= bytes;
        this.#unread += bytes;
        this.#read();
        this.#push();
      });
    }
  }

  #read(): void {
    while (!this.#isCancelled && !this.#isPaused && this.#unread > 0) {
      const bytes = Math.min(segmentBytes, this.#unread);
      this.#unread -= bytes;
      this.#received(bytes);
    }
  }
}
