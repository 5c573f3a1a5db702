import { RateMeter } from "./rate_meter.ts";

/** Bytes a millisecond of one Mbit/s. */
export const bytesPerMillisecondPerMegabit = 125;
/**
 * Share of the rate that payload may use: headers of TCP, IP and Ethernet take
 * 4 in 100 of full packets, and acknowledgements of the other direction 2.
 */
export const usableShare = 0.92;
/** Responses up to this size are not delayed, and are only counted. */
export const largeBytes = 16 * 1024;
/** No slice is larger: 16 KiB occupy a link of 2.52 Mbit/s for 52 ms. */
export const maximumSliceBytes = 16 * 1024;
/**
 * A link that carries this share of its rate over half a second has a queue:
 * senders fill their windows whether or not they are read.
 */
export const busyShare = 0.8;
/** A slice is worth two packets at least, or the calls cost more than it. */
const minimumSliceBytes = 3 * 1024;
/** A slice occupies the link for this long, which is what others wait for it. */
const sliceMilliseconds = 20;
/**
 * Share of the rate that large transfers get even if small messages need all of
 * it, so that none starves.
 */
const guaranteedShare = 0.1;
/** One grant in this many goes to the transfer that has waited longest. */
const longestWaitInterval = 5;
/** Counted bytes beyond the rate are remembered for this long. */
const maximumDebtMilliseconds = 10_000;
/** Weight of a millisecond in the moving rate of small messages. */
const smallRateMilliseconds = 1000;
/** The scheduler is not woken more often than that. */
const minimumWakeMilliseconds = 1;

/** A transfer that asks the scheduler before each slice. */
export interface TransferOptions {
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Time after which the response is of no use. */
  readonly deadlineAt: number;
  /** Called with the bytes that may be moved next. */
  readonly granted: (bytes: number) => void;
}

/** One large response on its way in one direction. */
export interface Transfer extends TransferOptions {
  /** Time since which it waits for a grant; undefined while it does not. */
  waitingSince: number | undefined;
  /** Bytes that are waiting to be moved, as far as they are known. */
  wantedBytes: number;
  /** Bytes that were granted and not moved yet. */
  credit: number;
  /** When the first of those was granted. */
  creditSince: number;
  lastGrantAt: number;
}

/**
 * Decides which transfer uses one direction of a link next. Small messages are
 * never delayed: they are counted, and large transfers get what is left of the
 * rate. Transfers are served in slices, most urgent route first, then the
 * earliest deadline; one slice in five goes to the longest wait.
 */
export class LinkScheduler {
  /** Usable bytes a millisecond. */
  readonly rate: number;
  readonly sliceBytes: number;
  readonly meter = new RateMeter();
  readonly #transfers = new Set<Transfer>();
  readonly #waiting = new Set<Transfer>();
  /** Bytes that may be used now; negative after more was used. */
  #balance: number;
  #guaranteed = 0;
  #refilledAt: number;
  #grants = 0;
  #smallRate = 0;
  #smallAt: number;

  constructor(
    options: { readonly megabitsPerSecond: number; readonly now: number },
  ) {
    this.rate = options.megabitsPerSecond * bytesPerMillisecondPerMegabit *
      usableShare;
    this.sliceBytes = Math.round(Math.min(
      maximumSliceBytes,
      Math.max(minimumSliceBytes, this.rate * sliceMilliseconds),
    ));
    this.#balance = this.sliceBytes;
    this.#refilledAt = this.#smallAt = options.now;
  }

  /** Counts bytes of small messages, which are not delayed. */
  count(bytes: number, now: number): void {
    this.#refill(now);
    this.#take(bytes);
    this.meter.record(bytes, now);
    this.recordDemand(bytes, now);
  }

  /**
   * Counts bytes of a small message that was refused: large responses leave room
   * for the next ones.
   */
  recordDemand(bytes: number, now: number): void {
    this.#decaySmallRate(now);
    this.#smallRate += bytes / smallRateMilliseconds;
  }

  open(options: TransferOptions, now: number): Transfer {
    const transfer: Transfer = {
      ...options,
      waitingSince: undefined,
      wantedBytes: 0,
      credit: 0,
      creditSince: now,
      lastGrantAt: now,
    };
    this.#transfers.add(transfer);
    return transfer;
  }

  /**
   * Asks for the next slice of a transfer, which {@link advance} grants.
   *
   * @param wantedBytes Bytes that are left, as far as they are known.
   */
  request(transfer: Transfer, wantedBytes: number, now: number): void {
    if (!this.#transfers.has(transfer)) return;
    transfer.wantedBytes = wantedBytes;
    transfer.waitingSince ??= now;
    this.#waiting.add(transfer);
  }

  /** Records bytes that a transfer has moved, granted or not. */
  record(transfer: Transfer, bytes: number, now: number): void {
    this.#refill(now);
    this.meter.record(bytes, now);
    const covered = Math.min(bytes, transfer.credit);
    transfer.credit -= covered;
    if (transfer.credit > 0) transfer.creditSince = now;
    this.#take(bytes - covered);
  }

  /** Ends a transfer and returns what it did not use. */
  end(transfer: Transfer): void {
    if (!this.#transfers.delete(transfer)) return;
    this.#waiting.delete(transfer);
    this.#balance = Math.min(this.sliceBytes, this.#balance + transfer.credit);
    transfer.credit = 0;
    transfer.waitingSince = undefined;
  }

  /**
   * Grants slices as the rate allows. Returns the milliseconds after which to
   * call again; undefined if nothing waits.
   */
  advance(now: number): number | undefined {
    this.#refill(now);
    while (this.#waiting.size > 0) {
      const isGuaranteed = this.#guaranteed >= this.sliceBytes;
      if (this.#balance <= 0 && !isGuaranteed) return this.#wakeDelay();
      this.#grant(this.#next(now), now);
    }
    return undefined;
  }

  /** Bytes of small messages that the link has not carried yet. */
  get debt(): number {
    return Math.max(0, -this.#balance);
  }

  /** Bytes of large transfers that wait for a grant. */
  get waitingBytes(): number {
    let bytes = 0;
    for (const { wantedBytes } of this.#waiting) bytes += wantedBytes;
    return bytes;
  }

  /** Returns how long the oldest waiting transfer has had no grant. */
  oldestWait(now: number): number {
    let oldest = 0;
    for (const { waitingSince } of this.#waiting) {
      oldest = Math.max(oldest, now - (waitingSince ?? now));
    }
    return oldest;
  }

  /** Returns how many transfers have not moved what they were granted since. */
  stalledSince(since: number): number {
    let count = 0;
    for (const { credit, creditSince } of this.#transfers) {
      if (credit > 0 && creditSince < since) count += 1;
    }
    return count;
  }

  /** Returns the bytes a millisecond that small messages leave to large ones. */
  rateLeft(now: number): number {
    this.#decaySmallRate(now);
    return Math.max(this.rate * guaranteedShare, this.rate - this.#smallRate);
  }

  /** Brings the balance up to a time. */
  settle(now: number): void {
    this.#refill(now);
  }

  #grant(transfer: Transfer, now: number): void {
    const bytes = this.sliceBytes;
    this.#grants += 1;
    this.#guaranteed = Math.max(0, this.#guaranteed - bytes);
    this.#take(bytes);
    this.#waiting.delete(transfer);
    if (transfer.credit <= 0) transfer.creditSince = now;
    transfer.credit += bytes;
    transfer.waitingSince = undefined;
    transfer.lastGrantAt = now;
    transfer.granted(bytes);
  }

  #next(now: number): Transfer {
    const isLongestWait = this.#grants % longestWaitInterval ===
      longestWaitInterval - 1;
    let best: Transfer | undefined;
    for (const each of this.#waiting) {
      if (!best) best = each;
      else if (isLongestWait) {
        if ((each.waitingSince ?? now) < (best.waitingSince ?? now)) {
          best = each;
        }
      } else if (precedes(each, best)) best = each;
    }
    return best!;
  }

  #take(bytes: number): void {
    this.#balance = Math.max(
      -maximumDebtMilliseconds * this.rate,
      this.#balance - bytes,
    );
  }

  #refill(now: number): void {
    const bytes = Math.max(0, now - this.#refilledAt) * this.rate;
    this.#refilledAt = now;
    this.#balance = Math.min(this.sliceBytes, this.#balance + bytes);
    this.#guaranteed = Math.min(
      this.sliceBytes,
      this.#guaranteed + bytes * guaranteedShare,
    );
  }

  #wakeDelay(): number {
    const untilBalance = (1 - this.#balance) / this.rate;
    const untilGuarantee = (this.sliceBytes - this.#guaranteed) /
      (this.rate * guaranteedShare);
    return Math.max(
      minimumWakeMilliseconds,
      Math.min(untilBalance, untilGuarantee),
    );
  }

  #decaySmallRate(now: number): void {
    const elapsed = Math.max(0, now - this.#smallAt);
    this.#smallAt = now;
    this.#smallRate *= Math.exp(-elapsed / smallRateMilliseconds);
  }
}

/** Whether one transfer is served before another. */
export function precedes(
  left: Pick<Transfer, "priority" | "deadlineAt">,
  right: Pick<Transfer, "priority" | "deadlineAt">,
): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.deadlineAt < right.deadlineAt;
}
