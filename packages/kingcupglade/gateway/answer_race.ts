import { AnswerSink } from "./answer_sink.ts";
import type { HeaderList } from "./exchange_headers.ts";

/** Lets several exchanges compete for one receiver; the first head wins. */
export class AnswerRace {
  readonly sink: AnswerSink;
  readonly #legs: RaceLeg[] = [];
  #winner: RaceLeg | undefined;

  constructor(sink: AnswerSink) {
    this.sink = sink;
    sink.onClose(() => this.#closeAll());
  }

  /** Whether an exchange has begun to answer. */
  get isDecided(): boolean {
    return this.#winner !== undefined;
  }

  /** A sink for one more exchange. */
  leg(): AnswerSink {
    const leg = new RaceLeg(this);
    this.#legs.push(leg);
    return leg;
  }

  /** Whether another exchange has won. */
  isLostBy(leg: RaceLeg): boolean {
    return this.#winner !== undefined && this.#winner !== leg;
  }

  /** Makes an exchange the winner and ends the others. */
  claim(leg: RaceLeg): void {
    this.#winner = leg;
    for (const each of this.#legs) {
      if (each !== leg) each.close();
    }
  }

  #closeAll(): void {
    for (const leg of this.#legs) leg.close();
  }
}

class RaceLeg extends AnswerSink {
  readonly #race: AnswerRace;
  #closeListener: (() => void) | undefined;
  #hasBegun = false;
  #bytes = 0;

  constructor(race: AnswerRace) {
    super();
    this.#race = race;
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override get isClosed(): boolean {
    return this.#race.isLostBy(this) || this.#race.sink.isClosed;
  }

  override get bytes(): number {
    return this.#bytes;
  }

  /** Tells the exchange that nobody wants its answer any more. */
  close(): void {
    this.#closeListener?.();
  }

  override begin(status: number, headers: HeaderList): void {
    if (this.#race.isLostBy(this)) return;
    this.#race.claim(this);
    this.#hasBegun = true;
    this.#race.sink.begin(status, headers);
  }

  override write(chunk: Buffer): boolean {
    if (!this.#hasBegun) return true;
    this.#bytes += chunk.length;
    return this.#race.sink.write(chunk);
  }

  override end(): void {
    if (this.#hasBegun) this.#race.sink.end();
  }

  override fail(): void {
    if (this.#hasBegun) this.#race.sink.fail();
  }

  override onDrain(listener: () => void): void {
    if (this.#hasBegun) this.#race.sink.onDrain(listener);
  }

  override onClose(listener: () => void): () => void {
    this.#closeListener = listener;
    return () => (this.#closeListener = undefined);
  }
}
