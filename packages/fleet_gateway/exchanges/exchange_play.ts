import { RequestKind } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { vi } from "vitest";
import {
  CallerSide,
  Event,
  globalEvents,
  requestId,
  TargetSide,
} from "./exchange_sides.ts";
import type { Step } from "./exchange_sides.ts";
import { ForwardingFixture } from "../requests/forwarding_fixture.ts";
import { RequestForwarder } from "../requests/request_forwarder.ts";

/** Longer than the delay of a hedge, shorter than the deadline. */
const hedgeMilliseconds = 3000;
const deadlineMilliseconds = 10_000;
const lateMilliseconds = 60_000;
/** Microtasks in which the effects of an event have taken place. */
const settlingTurns = 16;

/**
 * A request whose targets and caller do what a sequence of steps says. Timers
 * must be faked.
 */
export class ExchangePlay {
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
        firstSentAt: 0,
        deadlineAt: deadlineMilliseconds,
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
