/**
 * Time over which the use of the processor is averaged. A stall of some 100 ms,
 * as by a collection of garbage, is no overload: what waited for it is served
 * within its objective.
 */
const averageMilliseconds = 200;
/** Use of the processor from which waits are due to load, 0 to 1. */
const overloadUse = 0.9;
/** Urgent requests are refused at waits that are longer by this factor. */
const urgentFactor = 1.5;

/** What a tick of the event loop shows, in milliseconds. */
export interface ProcessorSample {
  /** Time since the last sample in which the event loop was busy. */
  readonly busyMilliseconds: number;
  readonly idleMilliseconds: number;
  /** How late the tick was. */
  readonly lateMilliseconds: number;
}

/** What matters of a request that arrives. */
export interface ArrivingRequest {
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number;
  /** Time since the tick should have run that is due; 0 if none is. */
  readonly overdueMilliseconds: number;
}

/** Options of a {@link LoadShedder}. */
export interface LoadShedderOptions {
  /** Wait for the processor from which requests are refused. */
  readonly maximumWaitMilliseconds: number;
}

/**
 * Decides which requests a VM refuses while its processor is short. A request
 * that arrives then waits about as long as a timer of the event loop is late, at
 * each step of its way. Another VM may serve it in time, so it is refused at once
 * if that wait is too long. No capacity has to be configured.
 */
export class LoadShedder {
  readonly #options: LoadShedderOptions;
  #use = 0;
  #late = 0;

  constructor(options: LoadShedderOptions) {
    this.#options = options;
  }

  /** Share of the time in which the processor was busy lately, 0 to 1. */
  get use(): number {
    return this.#use;
  }

  /** How late the last tick was, in milliseconds. */
  get lateMilliseconds(): number {
    return this.#late;
  }

  /** Records a sample; called at a regular interval. */
  record(
    { busyMilliseconds, idleMilliseconds, lateMilliseconds }: ProcessorSample,
  ): void {
    this.#late = lateMilliseconds;
    const elapsed = busyMilliseconds + idleMilliseconds;
    if (elapsed <= 0) return;
    const weight = 1 - Math.exp(-elapsed / averageMilliseconds);
    this.#use += weight * (busyMilliseconds / elapsed - this.#use);
  }

  /**
   * Whether a request is admitted. Requests that were refused before are not
   * preferred: in an overload of all VMs, each would then be refused once.
   */
  admits({ priority, overdueMilliseconds }: ArrivingRequest): boolean {
    if (this.#use < overloadUse) return true;
    const wait = Math.max(this.#late, overdueMilliseconds);
    return wait <= this.#options.maximumWaitMilliseconds *
        (priority === 0 ? urgentFactor : 1);
  }
}
