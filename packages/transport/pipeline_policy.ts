/** What is done with the next request of a connection. */
export const PipelineStep = {
  proceed: "proceed",
  /** It waits until a request before it has ended. */
  concurrency: "concurrency",
  /** It, or one before it, is not safe to run beside others. */
  order: "order",
  /** It waits for memory of responses that wait for one before them. */
  memory: "memory",
  /** It waits for the caller to read the responses that were sent. */
  caller: "caller",
  /** It stands behind a response that closes the connection. */
  discard: "discard",
} as const;
export type PipelineStep = typeof PipelineStep[keyof typeof PipelineStep];

/** State of a connection whose next request is to be read or started. */
export interface PipelineState {
  /** Requests that were started and whose responses are not fully sent. */
  readonly inProgress: number;
  /** Requests of the connection that may be in progress at the same time. */
  readonly maximum: number;
  /** Whether a response in progress closes the connection. */
  readonly isClosing: boolean;
  /** Whether a request in progress has a method that is not safe. */
  readonly hasUnsafe: boolean;
  /** Whether the next request has a safe method; undefined until it is read. */
  readonly isSafe: boolean | undefined;
  /** Bytes of responses that wait for one before them on the connection. */
  readonly waitingBytes: number;
  readonly maximumWaitingBytes: number;
  /** Whether the memory for such responses of all connections is used up. */
  readonly isMemoryFull: boolean;
  /** Whether the caller reads its responses more slowly than they are sent. */
  readonly isCallerSlow: boolean;
}

/**
 * Methods whose requests may run at the same time, as they change nothing
 * (RFC 9112, 9.3.2).
 */
const safeMethods: ReadonlySet<string | undefined> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "TRACE",
]);

/** Whether requests with the method may run beside others of a connection. */
export function isSafeMethod(method: string | undefined): boolean {
  return safeMethods.has(method);
}

/**
 * Returns what is done with the next request of a connection. A request that is
 * alone on its connection never waits, so that each connection makes progress.
 */
export function nextPipelineStep(state: PipelineState): PipelineStep {
  if (state.isClosing) return PipelineStep.discard;
  if (state.inProgress === 0) return PipelineStep.proceed;
  if (state.inProgress >= state.maximum) return PipelineStep.concurrency;
  if (state.hasUnsafe || state.isSafe === false) return PipelineStep.order;
  if (state.isMemoryFull || state.waitingBytes >= state.maximumWaitingBytes) {
    return PipelineStep.memory;
  }
  return state.isCallerSlow ? PipelineStep.caller : PipelineStep.proceed;
}
