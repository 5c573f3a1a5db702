import { Stream } from "most";
import type { Scheduler, Sink } from "most";

/** A message queue that its owner reads as a `most` stream. */
export class Mailbox<Message> {
  readonly #queue: Message[] = [];
  #sink: Sink<Message> | undefined;
  #scheduler: Scheduler | undefined;
  #isClosed = false;
  #isDelivering = false;

  /** The messages in the order in which they were posted; can be observed once. */
  readonly stream: Stream<Message> = new Stream<Message>({
    run: (sink: Sink<Message>, scheduler: Scheduler) => {
      this.#sink = sink;
      this.#scheduler = scheduler;
      this.#deliver();
      if (this.#isClosed) sink.end(scheduler.now());
      return { dispose: () => (this.#sink = undefined) };
    },
  });

  /** Queues a message; messages posted after `close` are dropped. */
  post(message: Message): void {
    if (this.#isClosed) return;
    this.#queue.push(message);
    this.#deliver();
  }

  /**
   * Ends the stream. Queued messages are dropped if the stream is being observed;
   * otherwise they are delivered to its later observer.
   */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    if (this.#sink && this.#scheduler) {
      this.#queue.length = 0;
      this.#sink.end(this.#scheduler.now());
    }
  }

  // A message that is posted during delivery is queued, so that handlers are not
  // reentered.
  #deliver(): void {
    if (this.#isDelivering) return;
    this.#isDelivering = true;
    try {
      while (this.#sink && this.#queue.length > 0) {
        this.#sink.event(this.#scheduler!.now(), this.#queue.shift()!);
      }
    } finally {
      this.#isDelivering = false;
    }
  }
}
