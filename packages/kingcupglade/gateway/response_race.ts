import { ResponseSink } from "./response_sink.ts";
import type { HeaderList } from "./exchange_headers.ts";

/**
 * Gives the sink of a request to the first of its exchanges that receives a
 * response head.
 */
export class ResponseRace {
  readonly sink: ResponseSink;
  readonly #sinks: RacingSink[] = [];
  #winner: RacingSink | undefined;

  constructor(sink: ResponseSink) {
    this.sink = sink;
    sink.onClose(() => this.#closeAll());
  }

  /** Whether an exchange has received a response head. */
  get isDecided(): boolean {
    return this.#winner !== undefined;
  }

  /** Adds a sink for another exchange. */
  addSink(): ResponseSink {
    const racer = new RacingSink(this);
    this.#sinks.push(racer);
    return racer;
  }

  /** Whether another exchange than the given one has won. */
  isLostFor(racer: RacingSink): boolean {
    return this.#winner !== undefined && this.#winner !== racer;
  }

  /** Makes an exchange the winner and closes the sinks of the others. */
  claim(racer: RacingSink): void {
    this.#winner = racer;
    for (const other of this.#sinks) {
      if (other !== racer) other.close();
    }
  }

  #closeAll(): void {
    for (const racer of this.#sinks) racer.close();
  }
}

class RacingSink extends ResponseSink {
  readonly #race: ResponseRace;
  #closeListener: (() => void) | undefined;
  #hasBegun = false;
  #bytes = 0;

  constructor(race: ResponseRace) {
    super();
    this.#race = race;
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override get isClosed(): boolean {
    return this.#race.isLostFor(this) || this.#race.sink.isClosed;
  }

  override get bytes(): number {
    return this.#bytes;
  }

  /** Notifies the exchange that its response is no longer needed. */
  close(): void {
    this.#closeListener?.();
  }

  override begin(status: number, headers: HeaderList): void {
    if (this.#race.isLostFor(this)) return;
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
