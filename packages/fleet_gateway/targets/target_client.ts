import { Client } from "undici";
import type { Dispatcher } from "undici";
import type { BodyJoiner } from "../exchanges/body_joiner.ts";

/** A client of one connection, whose responses arrive in joined parts. */
export class TargetClient extends Client {
  readonly #joiner: BodyJoiner;

  /** @param origin URL of the target, without a path. */
  constructor(
    origin: string,
    { joiner, ...options }: Client.Options & { readonly joiner: BodyJoiner },
  ) {
    super(origin, options);
    this.#joiner = joiner;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    // The handlers of undici's own requests, such as load probes, have an older
    // interface. They read no more than the allowance of a connection.
    const isOfExchange = "onRequestStart" in handler;
    return super.dispatch(
      options,
      isOfExchange ? this.#joiner.wrap(handler) : handler,
    );
  }
}
