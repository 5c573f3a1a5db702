import type { LinkPassage, PassageTransfer } from "./link_passage.ts";
import { isLargeResponse } from "./link_passage.ts";
import { LinkDirection } from "./link_direction.ts";

/** Size that is expected of a response whose head does not state it. */
const unknownLeftBytes = 64 * 1024;

/** Reads one response from a target, or another gateway, as the link allows. */
export class ReadPace {
  readonly #passage: LinkPassage;
  readonly #startedAt: number;
  readonly #now: () => number;
  #transfer: PassageTransfer | undefined;
  #length: number | undefined;
  #received = 0;
  #headMilliseconds = 0;
  #teaches = false;
  #release: (() => void) | undefined;
  #heldSince = 0;
  #heldMilliseconds = 0;

  constructor(passage: LinkPassage, now: () => number) {
    this.#passage = passage;
    this.#now = now;
    this.#startedAt = now();
  }

  /** Time for which the response was not read because of the link. */
  get heldMilliseconds(): number {
    return this.#heldMilliseconds;
  }

  /** Whether the next part may not be read yet. */
  get isHeld(): boolean {
    return this.#release !== undefined;
  }

  /**
   * Records the head of the response.
   *
   * @returns Whether the body may be read at once.
   */
  begin(head: { readonly status: number; readonly length: number }): boolean {
    this.#headMilliseconds = this.#now() - this.#startedAt;
    this.#teaches = head.status >= 200 && head.status < 300;
    if (Number.isNaN(head.length)) return true;
    this.#length = head.length;
    this.#passage.recordSize(head.length);
    if (this.#teaches) this.#passage.learn(head.length, this.#headMilliseconds);
    return !isLargeResponse(head.length) || this.#ask();
  }

  /**
   * Records a part of the body.
   *
   * @returns Whether the next part may be read at once.
   */
  record(bytes: number): boolean {
    this.#received += bytes;
    this.#passage.hold(bytes);
    if (!this.#transfer && !isLargeResponse(this.#received)) {
      this.#passage.countSmall(LinkDirection.inbound, bytes);
      return true;
    }
    this.#open().record(bytes);
    return this.#received === this.#length || this.#open().credit > 0 ||
      this.#ask();
  }

  /** Calls back once, when the next part may be read. */
  hold(release: () => void): void {
    this.#heldSince = this.#now();
    this.#release = release;
  }

  /** Ends the reading, and returns what it did not use of the link. */
  end(isWhole: boolean): void {
    this.#grant();
    this.#transfer?.end();
    if (!isWhole) return this.#passage.hold(-this.#received);
    if (this.#length === undefined && this.#teaches) {
      this.#passage.learn(this.#received, this.#headMilliseconds);
    }
  }

  #open(): PassageTransfer {
    return this.#transfer ??= this.#passage.openRead(() => this.#grant());
  }

  /** Asks for the next slice; returns whether it was granted at once. */
  #ask(): boolean {
    const transfer = this.#open();
    transfer.request(
      this.#length === undefined
        ? unknownLeftBytes
        : Math.max(0, this.#length - this.#received),
    );
    return transfer.credit > 0;
  }

  #grant(): void {
    const release = this.#release;
    if (!release) return;
    this.#release = undefined;
    this.#heldMilliseconds += this.#now() - this.#heldSince;
    release();
  }
}
