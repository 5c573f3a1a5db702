import type { TargetView } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";

/** Interval at which responses are checked for being overdue. */
const reviewIntervalMilliseconds = 100;
/**
 * Without any sign of life for this many mean intervals between signs, or for
 * the minimum below if that is longer, responses are overdue.
 */
const overdueIntervals = 6;
const minimumOverdueMilliseconds = 400;
/** Weight of the latest interval between signs of life in its moving average. */
const intervalWeight = 0.1;
/** A sign of life that is at most this old rules out that all paths are cut. */
const recentMilliseconds = 100;
/**
 * Addresses to which no connection could be opened, while no other could be,
 * that raise a doubt although responses still arrive on open connections.
 */
const minimumFailedAddresses = 3;
/** The first target has this long before the others are tried as well. */
const firstTryMilliseconds = 100;
/** Within this time a target in another region accepts a connection. */
const checkMilliseconds = 300;
/** Targets that a check tries to connect to, in different data centres. */
const checkedTargets = 6;
/** With fewer targets, their failures say nothing about this gateway. */
const minimumTargets = 2;
const minimumCheckGapMilliseconds = 300;
const recoveryIntervalMilliseconds = 250;
/** Targets that are tried to see whether the cut is over. */
const recoveryTargets = 3;
/** Time in which requests return to the gateway's own paths. */
const returnMilliseconds = 1000;

/**
 * A full link delays connections beyond their time limits. While bytes of targets
 * arrive at least this often, the path is not cut: at 1.5 Mbit/s a window of
 * 64 KiB takes 0.35 s.
 */
const fullLinkSilenceMilliseconds = 1500;

/** Whether a gateway has a path to any target. */
export const ReachState = {
  reaching: "reaching",
  /** No target accepts a connection from this gateway. */
  cutOff: "cut-off",
  /** Targets accept connections again; requests return by degrees. */
  returning: "returning",
} as const;
export type ReachState = typeof ReachState[keyof typeof ReachState];

/** Options of a {@link TargetReach}. */
export interface TargetReachOptions {
  /** Returns the targets that may serve. */
  readonly targets: () => readonly TargetView[];
  /**
   * Opens and closes a connection; resolves with whether it was accepted within
   * the time.
   */
  readonly tryConnect: (
    address: string,
    milliseconds: number,
  ) => Promise<boolean>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Whether the link of this gateway is full. @default never */
  readonly isLinkFull?: () => boolean;
}

/**
 * Tells whether this gateway is cut off from all targets. Trouble with some
 * targets raises a doubt; a check then tries to connect to targets in different
 * data centres. Without a response from any of them, the fault is this gateway's
 * own path, and says nothing about targets or requests.
 */
export class TargetReach {
  readonly #options: TargetReachOptions;
  readonly #listeners = new Set<() => void>();
  /** Addresses that took no connection since one was opened last. */
  readonly #failedAddresses = new Set<string>();
  #state: ReachState = ReachState.reaching;
  #stateSince: number;
  #signAt: number;
  #meanInterval = 0;
  #progressAt = -Infinity;
  /** Requests at targets. */
  #inFlight = 0;
  /** Time since which requests have been in flight without a break. */
  #busySince = 0;
  #check: Promise<boolean> | undefined;
  #checkedAt = -Infinity;
  readonly #reviewTimer: NodeJS.Timeout;
  #recoveryTimer: NodeJS.Timeout | undefined;

  constructor(options: TargetReachOptions) {
    this.#options = options;
    this.#stateSince = this.#signAt = options.clock.now();
    this.#reviewTimer = setInterval(
      () => this.#review(),
      reviewIntervalMilliseconds,
    );
  }

  get isCutOff(): boolean {
    return this.#state === ReachState.cutOff;
  }

  /**
   * Decides whether a new request uses this gateway's own paths. Not at all
   * while it is cut off, and with increasing probability after that.
   */
  shouldUseTargets(): boolean {
    if (this.#state === ReachState.reaching) return true;
    if (this.#state === ReachState.cutOff) return false;
    const elapsed = this.#options.clock.now() - this.#stateSince;
    return this.#options.random() < elapsed / returnMilliseconds;
  }

  /** Calls a listener when the gateway is cut off; returns how to end that. */
  onCutOff(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Records that a request is sent to a target. */
  begin(): void {
    if (this.#inFlight === 0) this.#busySince = this.#options.clock.now();
    this.#inFlight += 1;
  }

  /** Records that a request is no longer in flight. */
  end(): void {
    this.#inFlight -= 1;
  }

  /** Records that a target has sent the head of a response. */
  recordResponse(): void {
    const now = this.#options.clock.now();
    this.#meanInterval += (now - this.#signAt - this.#meanInterval) *
      intervalWeight;
    this.#signAt = now;
  }

  /** Records that a part of a response has arrived. */
  recordProgress(): void {
    this.#progressAt = this.#options.clock.now();
  }

  /** Records that a target has accepted a connection. */
  recordConnected(): void {
    this.#signAt = this.#options.clock.now();
    this.#failedAddresses.clear();
  }

  /** Records that a target has not accepted a connection, or not yet. */
  recordConnectTrouble(address: string): void {
    this.#failedAddresses.add(address);
    this.#doubt();
  }

  /** Records that a target has ended a connection. */
  recordLoss(): void {
    this.#doubt();
  }

  /** Returns whether this gateway is cut off now, after a check if needed. */
  async confirmCutOff(): Promise<boolean> {
    if (this.#state === ReachState.cutOff) return true;
    if (this.#isOnlySlow) return false;
    return await this.#runCheck();
  }

  close(): void {
    clearInterval(this.#reviewTimer);
    clearTimeout(this.#recoveryTimer);
    this.#listeners.clear();
  }

  #review(): void {
    const { clock } = this.#options;
    const now = clock.now();
    if (
      this.#state === ReachState.returning &&
      now - this.#stateSince >= returnMilliseconds
    ) this.#enter(ReachState.reaching);
    if (this.#inFlight === 0) return;
    const silence = now - Math.max(this.#signAt, this.#busySince);
    const overdue = Math.max(
      minimumOverdueMilliseconds,
      overdueIntervals * this.#meanInterval,
    );
    if (silence > overdue) this.#doubt();
  }

  #doubt(): void {
    if (this.#state === ReachState.cutOff || this.#check) return;
    const now = this.#options.clock.now();
    const mayBeCut = now - this.#signAt > recentMilliseconds ||
      this.#failedAddresses.size >= minimumFailedAddresses;
    if (!mayBeCut || this.#isOnlySlow) return;
    if (now - this.#checkedAt < minimumCheckGapMilliseconds) return;
    void this.#runCheck();
  }

  /** Whether the link is full, and bytes of targets arrive over it. */
  get #isOnlySlow(): boolean {
    const { clock, isLinkFull } = this.#options;
    const signAt = Math.max(this.#signAt, this.#progressAt);
    return clock.now() - signAt <= fullLinkSilenceMilliseconds &&
      isLinkFull?.() === true;
  }

  #runCheck(): Promise<boolean> {
    this.#check ??= this.#checkTargets().finally(() => {
      this.#check = undefined;
      this.#checkedAt = this.#options.clock.now();
    });
    return this.#check;
  }

  async #checkTargets(): Promise<boolean> {
    const addresses = this.#sample(checkedTargets);
    if (addresses.length < minimumTargets) return false;
    const [first, ...others] = addresses;
    if (!await this.#isAnyReached(first!, others)) {
      if (this.#isOnlySlow) return false;
      this.#enter(ReachState.cutOff);
      return true;
    }
    this.recordConnected();
    return false;
  }

  // One accepted connection suffices, so the others are tried only if the first
  // is not accepted at once.
  async #isAnyReached(
    first: string,
    others: readonly string[],
  ): Promise<boolean> {
    const { tryConnect } = this.#options;
    const firstTry = tryConnect(first, checkMilliseconds);
    const isEarly = await Promise.race([
      firstTry,
      wait(firstTryMilliseconds).then(() => false),
    ]);
    if (isEarly) return true;
    const left = checkMilliseconds - firstTryMilliseconds;
    return await anyTrue([
      firstTry,
      ...others.map((each) => tryConnect(each, left)),
    ]);
  }

  #enter(state: ReachState): void {
    if (state === this.#state) return;
    const { clock, logger, metrics } = this.#options;
    const now = clock.now();
    logger.warn("target-reach-changed", {
      state,
      before: this.#state,
      lastedMilliseconds: Math.round(now - this.#stateSince),
      signAgeMilliseconds: Math.round(now - this.#signAt),
      failedAddresses: this.#failedAddresses.size,
      inFlight: this.#inFlight,
    });
    this.#state = state;
    this.#stateSince = now;
    metrics.cutOff.set(state === ReachState.cutOff ? 1 : 0);
    if (state !== ReachState.cutOff) return;
    this.#scheduleRecovery();
    for (const listener of [...this.#listeners]) listener();
  }

  #scheduleRecovery(): void {
    const { random } = this.#options;
    this.#recoveryTimer = setTimeout(
      () => void this.#tryRecovery(),
      recoveryIntervalMilliseconds * (0.75 + random() / 2),
    );
  }

  async #tryRecovery(): Promise<void> {
    const { tryConnect } = this.#options;
    const hasRecovered = await anyTrue(
      this.#sample(recoveryTargets).map((address) =>
        tryConnect(address, checkMilliseconds)
      ),
    );
    if (!this.isCutOff) return;
    if (!hasRecovered) return this.#scheduleRecovery();
    this.recordConnected();
    this.#enter(ReachState.returning);
  }

  /** Returns addresses of random targets, in as many data centres as possible. */
  #sample(count: number): readonly string[] {
    const { targets, random } = this.#options;
    const shuffled = targets().map((target) => ({ target, order: random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ target }) => target);
    const seen = new Map<string, number>();
    const ranked = shuffled.map((target) => {
      const rank = seen.get(target.dataCentre) ?? 0;
      seen.set(target.dataCentre, rank + 1);
      return { target, rank };
    }).sort((left, right) => left.rank - right.rank);
    return ranked.slice(0, count).map(({ target }) => target.address);
  }
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Resolves with true as soon as one result is true. */
async function anyTrue(
  results: readonly Promise<boolean>[],
): Promise<boolean> {
  const accepted = results.map(async (each) => {
    if (!await each) throw new Error("the target accepts no connection");
  });
  try {
    await Promise.any(accepted);
    return true;
  } catch {
    return false;
  }
}
