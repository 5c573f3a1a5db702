import { Stream } from "most";
import type { Scheduler, Sink } from "most";

/** A queue of messages that its owner reads as a `most` stream. */
export class Mailbox<Message> {
  readonly #waiting: Message[] = [];
  #sink: Sink<Message> | undefined;
  #scheduler: Scheduler | undefined;
  #closed = false;

  /** The messages in the order they were posted. May be observed once. */
  readonly stream: Stream<Message> = new Stream<Message>({
    run: (sink: Sink<Message>, scheduler: Scheduler) => {
      this.#sink = sink;
      this.#scheduler = scheduler;
      for (const message of this.#waiting.splice(0)) this.#deliver(message);
      if (this.#closed) sink.end(scheduler.now());
      return { dispose: () => (this.#sink = undefined) };
    },
  });

  /** Adds a message; messages posted after `close` are dropped. */
  post(message: Message): void {
    if (this.#closed) return;
    if (this.#sink) this.#deliver(message);
    else this.#waiting.push(message);
  }

  /** Ends the stream. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    if (this.#sink && this.#scheduler) {
      this.#sink.end(this.#scheduler.now());
    }
  }

  #deliver(message: Message): void {
    this.#sink!.event(this.#scheduler!.now(), message);
  }
}
