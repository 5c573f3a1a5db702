import type { TargetView } from "@kingcupglade/fleet";
import { LossCause } from "../exchanges/exchange.ts";
import type { ExchangeResult } from "../exchanges/exchange.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type {
  AttemptListener,
  SuspectAttempt,
  SuspectGate,
} from "../targets/suspect_gate.ts";

/** Receives the result of waiting for permission; one of them, once. */
export interface PermissionListener
  extends Pick<AttemptListener, "quarantined" | "late"> {
  /** The request may be sent; `isAttempt` tells whether it is a suspect. */
  readonly permitted: (isAttempt: boolean) => void;
}

/** Whether one request may be sent although its runs may end targets. */
export class RequestSuspicion {
  readonly #gate: SuspectGate;
  readonly #routed: RoutedRequest;
  /** Permission to send the request although it is a suspect. */
  #attempt: SuspectAttempt | undefined;
  #wasAttempted = false;
  #endWait: () => void = () => {};

  constructor(options: {
    readonly gate: SuspectGate;
    readonly routed: RoutedRequest;
  }) {
    this.#gate = options.gate;
    this.#routed = options.routed;
  }

  /** Whether it was sent with a permission for suspects. */
  get wasAttempted(): boolean {
    return this.#wasAttempted;
  }

  /** Whether it may be sent without waiting for permission. */
  get maySend(): boolean {
    return this.#attempt !== undefined || !this.#gate.isSuspect(this.#routed);
  }

  /** Whether it may be sent to a second target while it is in flight. */
  get mayHedge(): boolean {
    return !this.#gate.isSuspect(this.#routed);
  }

  /** Waits until the request may be sent. */
  awaitPermission(listener: PermissionListener): void {
    if (this.maySend) return listener.permitted(false);
    this.#endWait = this.#gate.requestAttempt(this.#routed, {
      ...listener,
      granted: (attempt) => {
        this.#attempt = attempt;
        listener.permitted(true);
      },
      cleared: () => listener.permitted(false),
    });
  }

  /**
   * Records how an exchange ended. If the target closed the connection, finds
   * out whether it has ended; returns undefined for every other result.
   */
  recordResult(
    result: ExchangeResult,
    target: TargetView,
  ): Promise<boolean> | undefined {
    if (result.kind === "answered" && !result.head.didNotRun) {
      this.#gate.recordRun(this.#routed);
      this.#attempt = undefined;
    }
    if (result.kind !== "unknown" || result.cause !== LossCause.closed) {
      return undefined;
    }
    const attempt = this.#attempt;
    this.#attempt = undefined;
    this.#wasAttempted ||= attempt !== undefined;
    return this.#gate.examine(target, this.#routed, attempt);
  }

  /** Ends the wait, or the attempt that showed nothing. */
  release(): void {
    this.#endWait();
    this.#attempt?.release();
    this.#attempt = undefined;
  }
}
