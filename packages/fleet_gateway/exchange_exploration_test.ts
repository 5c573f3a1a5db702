import { RequestKind } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import type { Dispatcher } from "undici";
import { errors } from "undici";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import type { ResponseHead } from "./exchange.ts";
import { ForwardingFixture } from "./forwarding_fixture.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { BodyFraming } from "./response_framing.ts";
import { SurplusDetector } from "./surplus_detector.ts";

const requestId = "r1";
const depth = 5;
const randomSequenceCount = 4000;
const randomLength = 12;
/** Longer than the delay of a hedge, shorter than the deadline. */
const hedgeMilliseconds = 3000;
const lateMilliseconds = 60_000;
const largeBytes = 300 * 1024;
/** Microtasks in which the effects of an event have taken place. */
const settlingTurns = 16;

/** What may happen to an exchange, or to the request. */
const Event = {
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
type Event = typeof Event[keyof typeof Event];

/** An event, and the exchange that it happens to, by its number. */
type Step = readonly [event: Event, exchange: number];

const globalEvents: readonly Event[] = [
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
class TargetSide {
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
      beforeEnd: undefined,
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
class CallerSide {
  readonly faults: string[] = [];
  hasStarted = false;
  isClosed = false;
  target = "";
  /** Targets side whose response is passed on. */
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

  /** Exchanges that were complete before surplus bytes arrived. */
  readonly checked = new Set<TargetSide>();

  #sideOf(part: Buffer): TargetSide | undefined {
    return this.#sides()[Number(String.fromCharCode(part[0]!))];
  }

  #fault(fault: string): void {
    this.faults.push(fault);
  }
}

/** A request whose targets and caller do what a sequence of steps says. */
class Play {
  readonly sides: TargetSide[] = [];
  readonly caller = new CallerSide(() => this.sides);
  readonly #fixture = new ForwardingFixture([
    { address: "t0" },
    { address: "t1" },
    { address: "t2" },
  ] as never);
  readonly #clock = new ManualClock(0);
  readonly #requests: RequestKind;
  #forwarder!: RequestForwarder;

  constructor(requests: RequestKind) {
    this.#requests = requests;
  }

  async start(): Promise<void> {
    this.#forwarder = new RequestForwarder({
      context: {
        ...this.#fixture.context(),
        clock: this.#clock,
        connections: {
          acquire: () => {
            const side = new TargetSide(this.sides.length, true);
            this.sides.push(side);
            return side.connection;
          },
          release: (_address: string, connection: unknown) =>
            this.#sideWith(connection).releaseCount += 1,
          end: (connection: unknown) =>
            this.#sideWith(connection).isDestroyed = true,
        },
      } as never,
      routed: {
        ...this.#fixture.routed({ requestId, requests: this.#requests }),
        arrivedAt: 0,
        deadlineAt: 10_000,
      } as never,
      answer: this.caller as never,
      handOver: () => {},
    });
    this.caller.onClosed(() => this.#forwarder.abandon());
    this.#forwarder.start();
    await settle();
  }

  get steps(): readonly Step[] {
    const ofSides = this.sides.flatMap((side, at) =>
      side.events.map((event): Step => [event, at])
    );
    if (this.caller.isClosed) return ofSides;
    return [...ofSides, ...globalEvents.map((event): Step => [event, 0])];
  }

  async play(step: Step): Promise<void> {
    const sideCount = this.sides.length;
    const { hasStarted } = this.caller;
    await this.#play(step);
    const { faults } = this.caller;
    if (hasStarted && this.sides.length > sideCount) {
      faults.push("sent after the response has begun");
    }
    const isWaste = this.caller.hasStarted &&
      this.sides.filter(({ isOver, isDestroyed }) => !isOver && !isDestroyed)
          .length > 1;
    if (isWaste) faults.push("two exchanges after the response has begun");
  }

  async #play([event, exchange]: Step): Promise<void> {
    switch (event) {
      case Event.check:
        this.#advance(0);
        break;
      case Event.hedge:
        this.#advance(hedgeMilliseconds);
        break;
      case Event.late:
        this.#advance(lateMilliseconds);
        break;
      case Event.callerGone:
        this.caller.close();
        break;
      default:
        this.sides[exchange]!.play(event);
    }
    await settle();
  }

  // Immediates precede timers.
  #advance(milliseconds: number): void {
    for (const side of this.sides) {
      if (side.hasEnded && !side.hasSurplus) this.caller.checked.add(side);
    }
    vi.advanceTimersByTime(0);
    if (milliseconds === 0) return;
    this.#clock.advance(milliseconds);
    vi.advanceTimersByTime(milliseconds);
  }

  /** Lets the time run out, and returns what is wrong. */
  async finish(): Promise<readonly string[]> {
    await this.play([Event.check, 0]);
    await this.play([Event.late, 0]);
    await this.play([Event.late, 0]);
    const { faults } = this.caller;
    if (!this.caller.isClosed) faults.push("no response");
    this.caller.close();
    await settle();
    for (const side of this.sides) {
      const isReusable = side.releaseCount === 1 && side.hasEnded;
      if (!isReusable && !side.isDestroyed) faults.push("a connection is kept");
      if (side.releaseCount > 0 && !side.hasEnded) {
        faults.push("a connection is reused too soon");
      }
    }
    if (this.#fixture.responseMemory.usedBytes > 0) faults.push("memory kept");
    const runs = this.sides.filter(({ didNotRun }) => !didNotRun).length;
    if (this.#requests === RequestKind.once && runs > 1) {
      faults.push("sent again");
    }
    vi.clearAllTimers();
    return faults;
  }

  #sideWith(connection: unknown): TargetSide {
    return this.sides.find((side) => side.connection === connection)!;
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < settlingTurns; turn += 1) await null;
}

/** Plays steps and returns what is wrong, and which steps may follow. */
async function playAll(requests: RequestKind, steps: readonly Step[]) {
  const play = new Play(requests);
  await play.start();
  for (const step of steps) await play.play(step);
  const next = play.steps;
  return { next, faults: await play.finish() };
}

function describeSteps(steps: readonly Step[]): string {
  return steps.map(([event, exchange]) => `${exchange} ${event}`).join(", ");
}

/** Returns numbers between 0 and 1 that depend on the seed alone. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

// Guards against orders of events that nobody thought of: an end that is claimed,
// a response that is traded, sent twice or never, work that is sent again.
describe("a request whose exchanges meet events in any order", () => {
  beforeAll(() => {
    vi.useFakeTimers({
      toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate"],
    });
  });

  afterAll(() => {
    vi.useRealTimers();
  });

  for (const requests of Object.values(RequestKind)) {
    it(`is ended once and truthfully, in every order (${requests})`, async () => {
      const found: string[] = [];
      let count = 0;
      const explore = async (steps: readonly Step[]): Promise<void> => {
        count += 1;
        const { next, faults } = await playAll(requests, steps);
        if (faults.length > 0) {
          found.push(`${describeSteps(steps)}: ${faults.join(", ")}`);
        }
        if (faults.length > 0 || steps.length === depth) return;
        for (const step of next) await explore([...steps, step]);
      };
      await explore([]);
      expect(found.slice(0, 10)).toEqual([]);
      expect(count).toBeGreaterThan(5000);
    });

    it(`is so in long orders drawn at random (${requests})`, async () => {
      const random = seededRandom(1);
      const found: string[] = [];
      for (let count = 0; count < randomSequenceCount; count += 1) {
        const play = new Play(requests);
        await play.start();
        const steps: Step[] = [];
        while (steps.length < randomLength) {
          const { steps: possible } = play;
          if (possible.length === 0) break;
          const step = possible[Math.floor(random() * possible.length)]!;
          steps.push(step);
          await play.play(step);
        }
        const faults = await play.finish();
        if (faults.length > 0) {
          found.push(`${describeSteps(steps)}: ${faults.join(", ")}`);
        }
      }
      expect(found.slice(0, 10)).toEqual([]);
    });
  }
});
