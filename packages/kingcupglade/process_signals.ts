// The first module that the program evaluates: it must import no other one.

/** Signals that a process with a VM handles. */
export const ProcessSignal = {
  reload: "SIGHUP",
  stop: "SIGTERM",
  interrupt: "SIGINT",
} as const;
export type ProcessSignal = typeof ProcessSignal[keyof typeof ProcessSignal];

/** A signal that the process received. */
export interface ReceivedSignal {
  readonly signal: ProcessSignal;
  /** How often it was received since the process started. */
  readonly count: number;
  /** Time at which it was first received, by `performance.now()`. */
  readonly firstAt: number;
}

/** Keeps signals from ending the process and passes them to a listener. */
export class ProcessSignals {
  readonly #received = new Map<ProcessSignal, ReceivedSignal>();
  #isCapturing = false;
  #listener: ((received: ReceivedSignal) => void) | undefined;

  /** From now on signals are kept until there is a listener. */
  capture(): void {
    if (this.#isCapturing) return;
    this.#isCapturing = true;
    for (const signal of Object.values(ProcessSignal)) {
      process.on(signal, () => this.#receive(signal));
    }
  }

  /**
   * Calls the listener for each signal, and once for each that was received
   * before.
   */
  listen(listener: (received: ReceivedSignal) => void): void {
    this.capture();
    this.#listener = listener;
    for (const received of this.#received.values()) listener(received);
  }

  #receive(signal: ProcessSignal): void {
    const before = this.#received.get(signal);
    const received = {
      signal,
      count: (before?.count ?? 0) + 1,
      firstAt: before?.firstAt ?? performance.now(),
    };
    this.#received.set(signal, received);
    this.#listener?.(received);
  }
}

/** The signals of this process. */
export const processSignals = new ProcessSignals();

// Until its signals are captured, each of them ends the process. The other
// commands end by signals at any time.
if (process.argv[2] === "serve") processSignals.capture();
