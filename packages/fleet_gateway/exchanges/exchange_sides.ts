import type { Dispatcher } from "undici";
import { errors } from "undici";
import type { ResponseHead } from "./exchange.ts";
import { BodyFraming } from "../callers/response_framing.ts";
import { ReadHold } from "./read_hold.ts";
import { SurplusDetector } from "./surplus_detector.ts";

/** ID of the only request. */
export const requestId = "r1";
const largeBytes = 300 * 1024;

/** What may happen to an exchange, or to the request. */
export const Event = {
  headWithLength: "head with length",
  headWithoutLength: "head without length",
  headInChunks: "head in chunks",
  /** A whole response which states that the request did not run. */
  refusal: "refusal",
  /** A whole response with status 500. */
  failure: "failure",
  otherId: "head of another request",
  part: "part",
  largePart: "large part",
  end: "end",
  /** The parser reports it as an end. */
  reset: "reset",
  loss: "loss",
  /** Bytes that are no response follow the end. */
  surplus: "surplus",
  /** All that has arrived was read. */
  check: "check",
  hedge: "hedge",
  late: "late",
  callerGone: "caller gone",
} as const;
export type Event = typeof Event[keyof typeof Event];

/** An event, and the exchange that it happens to, by its number. */
export type Step = readonly [event: Event, exchange: number];

/** Events that happen to the request, or to all of its exchanges. */
export const globalEvents: readonly Event[] = [
  Event.check,
  Event.hedge,
  Event.late,
  Event.callerGone,
];
const headEvents: readonly Event[] = [
  Event.headWithLength,
  Event.headWithoutLength,
  Event.headInChunks,
  Event.refusal,
  Event.failure,
  Event.otherId,
  Event.loss,
];
const bodyEvents: readonly Event[] = [
  Event.part,
  Event.largePart,
  Event.end,
  Event.reset,
  Event.loss,
];

/** One exchange as its target and its connection see it. */
export class TargetSide {
  readonly received: Buffer[] = [];
  hasHead = false;
  isOver = false;
  hasEnded = false;
  hasSurplus = false;
  /** Whether the target stated that the request did not run. */
  didNotRun = false;
  isDestroyed = false;
  releaseCount = 0;
  isOfOtherRequest = false;
  headers: Record<string, string> | undefined;
  readonly connection;
  #handler: Dispatcher.DispatchHandler | undefined;
  readonly #number: number;

  constructor(number: number, wasUsed: boolean) {
    this.#number = number;
    const surplus = new SurplusDetector(() => {});
    surplus.begin();
    this.connection = {
      wasUsed,
      wasReset: false,
      allowance: { renew() {} },
      surplus,
      recordSurplus() {},
      reads: new ReadHold(),
      client: {
        dispatch: (_options: unknown, handler: Dispatcher.DispatchHandler) => {
          this.#handler = handler;
          handler.onRequestStart!(this.#controller, {});
        },
        destroy: () => (this.isDestroyed = true),
      },
    };
  }

  readonly #controller = {
    abort: () => (this.isDestroyed = true),
    pause() {},
    resume() {},
  } as unknown as Dispatcher.DispatchController;

  get events(): readonly Event[] {
    if (this.isDestroyed) return [];
    if (this.isOver) {
      return this.hasEnded && !this.hasSurplus ? [Event.surplus] : [];
    }
    return this.hasHead ? bodyEvents : headEvents;
  }

  play(event: Event): void {
    switch (event) {
      case Event.headWithLength:
        return this.#begin(200, { "content-length": "1000000" });
      case Event.headWithoutLength:
        return this.#begin(200, {});
      case Event.headInChunks:
        return this.#begin(200, { "transfer-encoding": "chunked" });
      case Event.refusal:
        this.didNotRun = true;
        this.#begin(503, { "content-length": "1", "not-run": "1" });
        return this.#finish();
      case Event.failure:
        this.#begin(500, { "content-length": "1" });
        return this.#finish();
      case Event.otherId:
        this.isOfOtherRequest = true;
        return this.#begin(200, { request: "other" });
      case Event.part:
        return this.#send(1);
      case Event.largePart:
        return this.#send(largeBytes);
      case Event.end:
        return this.#finish();
      case Event.reset:
        this.connection.wasReset = true;
        this.isOver = true;
        return this.#handler!.onResponseEnd!(this.#controller, {});
      case Event.loss:
        this.isOver = true;
        return this.#handler!.onResponseError!(
          this.#controller,
          new errors.SocketError("other side closed"),
        );
      case Event.surplus:
        this.hasSurplus = true;
        return this.connection.surplus.recordRead(Buffer.from("foreign"));
    }
  }

  #begin(status: number, headers: Record<string, string>): void {
    this.hasHead = true;
    this.headers = { request: requestId, ...headers };
    this.#handler!.onResponseStart!(this.#controller, status, this.headers);
  }

  #send(bytes: number): void {
    const part = Buffer.alloc(bytes, String(this.#number));
    this.received.push(part);
    this.#handler!.onResponseData!(this.#controller, part);
  }

  #finish(): void {
    this.isOver = true;
    this.hasEnded = true;
    this.#handler!.onResponseEnd!(this.#controller, {});
  }
}

/** What the caller sees, and what may not happen to it. */
export class CallerSide {
  readonly faults: string[] = [];
  /** Exchanges that were complete before surplus bytes arrived. */
  readonly checked = new Set<TargetSide>();
  hasStarted = false;
  isClosed = false;
  target = "";
  /** Exchange whose response is passed on. */
  #source: TargetSide | undefined;
  #bytes = 0;
  readonly #sides: () => readonly TargetSide[];
  readonly #closeListeners: (() => void)[] = [];
  readonly sent = { sent: BodyFraming.length, isStreamed: false, bytes: 0 };

  constructor(sides: () => readonly TargetSide[]) {
    this.#sides = sides;
  }

  onClosed(listener: () => void): void {
    this.#closeListeners.push(listener);
  }

  close(): void {
    this.isClosed = true;
    for (const listener of this.#closeListeners) listener();
  }

  wouldLookWhole({ framing }: ResponseHead): boolean {
    return framing === BodyFraming.connection;
  }

  begin(_head: ResponseHead, first: readonly Buffer[]): void {
    this.#start("begin");
    this.#source = this.#sideOf(first[0]!);
    for (const part of first) this.write(part);
  }

  write(part: Buffer): boolean {
    if (this.#sideOf(part) !== this.#source) this.#fault("traded");
    this.#bytes += part.length;
    return true;
  }

  onDrain(): void {}

  end(): void {
    this.#checkWhole(this.#bytes);
    this.close();
  }

  fail(): void {
    this.close();
  }

  forward(head: ResponseHead, body: Buffer): void {
    this.#start("forward");
    if (head.status === 200) {
      this.#source = body.length > 0
        ? this.#sideOf(body)
        : this.#sides().find(({ headers }) => headers === head.headers);
      this.#checkWhole(body.length);
    }
    this.close();
  }

  respond({ status }: { readonly status: number }): void {
    this.#start("respond");
    const mayHaveRun = this.#sides().some((side) => !side.didNotRun);
    if (status === 503 && mayHaveRun) this.#fault("refused, and may have run");
    this.close();
  }

  #start(what: string): void {
    if (this.hasStarted || this.isClosed) this.#fault(`${what} after another`);
    this.hasStarted = true;
  }

  #checkWhole(bytes: number): void {
    const source = this.#source;
    const expected = source?.received.reduce(
      (sum, { length }) => sum + length,
      0,
    );
    const isWhole = source?.hasEnded && expected === bytes;
    if (!isWhole) this.#fault("a part that looks whole");
    const isForeign = source?.connection.wasUsed && source.hasSurplus &&
      !this.checked.has(source);
    if (isForeign || source?.isOfOtherRequest) this.#fault("foreign bytes");
  }

  #sideOf(part: Buffer): TargetSide | undefined {
    return this.#sides()[Number(String.fromCharCode(part[0]!))];
  }

  #fault(fault: string): void {
    this.faults.push(fault);
  }
}
