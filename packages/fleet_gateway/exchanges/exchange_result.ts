import type { ResponseHead } from "./exchange.ts";
import type { LossCause } from "./loss_cause.ts";

/** How an exchange ended. */
export type ExchangeResult =
  | {
    readonly kind: "answered";
    readonly head: ResponseHead;
    /** Null when the body was streamed. */
    readonly body: Buffer | null;
  }
  /** Nothing of the request left this VM. */
  | {
    readonly kind: "notSent";
    readonly reason: string;
    /** Whether this VM withheld it, so that the target is not at fault. */
    readonly isWithheld?: boolean;
  }
  /** The request may have run, and no valid response was received. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly cause: LossCause;
  };
