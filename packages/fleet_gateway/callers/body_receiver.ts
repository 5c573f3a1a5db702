import type { IncomingMessage } from "node:http";
import {
  BodyMemory,
  BodyMemoryError,
  BodyTooLargeError,
  RequestBody,
  waitForClose,
} from "@kingcupglade/transport";
import type { CallerResponse } from "./caller_response.ts";
import type { ForwardingContext } from "../requests/routed_request.ts";

/** Bodies up to this size are buffered, so that they can be sent again. */
export const maximumBufferedBytes = 128 * 1024;
/** Used while the configuration sets no limits. */
const defaultMaximumBodyBytes = 64 * 1024 * 1024;

/** Receives the bodies of callers' requests within the memory for all of them. */
export class BodyReceiver {
  readonly #context: Pick<ForwardingContext, "table" | "wire" | "logger">;
  readonly #memory = new BodyMemory();

  constructor(context: Pick<ForwardingContext, "table" | "wire" | "logger">) {
    this.#context = context;
  }

  /**
   * Returns the body of a request; undefined if it was refused, or if its caller
   * has aborted it.
   */
  async receive(
    request: IncomingMessage,
    { answer, leftMilliseconds, refuse }: {
      readonly answer: CallerResponse;
      /** Time until the deadline of the request. */
      readonly leftMilliseconds: number;
      readonly refuse: (status: 408 | 413 | 503, reason: string) => void;
    },
  ): Promise<RequestBody | undefined> {
    const { table, wire, logger } = this.#context;
    const reservation = this.#memory.reserve();
    answer.onClosed(() => reservation.release());
    const timer = setTimeout(
      () => refuse(408, "the body did not arrive in time"),
      leftMilliseconds,
    );
    answer.onClosed(() => clearTimeout(timer));
    try {
      const body = await RequestBody.receive(request, {
        maximumBytes: table().limits?.maximumBodyBytes ??
          defaultMaximumBodyBytes,
        maximumBufferedBytes,
        reservation,
      });
      clearTimeout(timer);
      await waitForClose();
      return body;
    } catch (failure) {
      clearTimeout(timer);
      if (failure instanceof BodyTooLargeError) refuse(413, failure.message);
      if (failure instanceof BodyMemoryError) {
        logger.warn("body-refused", {
          request: wire.readRequest(request.headers).requestId,
          usedBytes: this.#memory.usedBytes,
        });
        refuse(503, failure.message);
      }
      // A caller that aborted its body needs no response.
      return undefined;
    }
  }
}
