import type { Dispatcher } from "undici";
import type { TargetConnection } from "./address_pool.ts";

/** Pauses the body of a response for as long as anything holds it. */
export class BodyPause {
  readonly #connection: Pick<TargetConnection, "beforeEnd">;
  #holds = 0;
  /** Whether the target has closed its side and everything was read. */
  #isFullyRead = false;

  constructor(connection: Pick<TargetConnection, "beforeEnd">) {
    this.#connection = connection;
  }

  /** Pauses the body until the function that is returned is called. */
  hold(controller: Dispatcher.DispatchController): () => void {
    if (this.#isFullyRead) return () => {};
    this.#connection.beforeEnd = () => {
      this.#isFullyRead = true;
      controller.resume();
    };
    this.#holds += 1;
    controller.pause();
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.#holds -= 1;
      // undici's parser cannot run within another run of it, from which the
      // scheduler of the link may call.
      setImmediate(() => {
        if (this.#holds === 0) controller.resume();
      });
    };
  }
}
