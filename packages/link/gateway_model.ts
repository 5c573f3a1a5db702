import { Flow, LinkDirection } from "./link_model.ts";
import type { Simulation } from "./link_model.ts";

const requestBytes = 700;
const refusalBytes = 400;
const handshakeBytes = 60;
/** A target that has not accepted a connection after this long is given up. */
const connectMilliseconds = 700;
/** One request in this many needs a new connection to its target. */
const newConnectionInterval = 4;
const maximumConnects = 4;

/** One use of the service by a caller, with all its attempts. */
export interface Operation {
  readonly route: string;
  readonly bytes: number;
  readonly priority: number;
  readonly startedAt: number;
  readonly deadlineAt: number;
  isServed: boolean;
}

/** One attempt of an operation at the gateway. */
export interface Attempt extends Operation {
  isOver: boolean;
  /** Ends what the attempt has in progress. */
  readonly onEnd: (() => void)[];
  readonly finished: (result: "served" | "lost" | number) => void;
}

/** What differs between the policies that are compared. */
export abstract class LinkPolicy {
  /** Returns the milliseconds until a retry, or undefined to admit. */
  admit(_attempt: Attempt): number | undefined {
    return undefined;
  }

  /** Counts a small message. */
  countIn(_bytes: number): void {}
  countOut(_bytes: number): void {}

  /** Called when the head of a response arrives. */
  recordHead(_attempt: Attempt): void {}

  /** Reads a response from its target. */
  receive(_attempt: Attempt, _flow: Flow): (bytes: number) => void {
    return () => {};
  }

  /** Writes a response to its caller. */
  send(attempt: Attempt, flow: Flow): (bytes: number) => void {
    flow.write(attempt.bytes);
    return () => {};
  }
}

/** A gateway between callers and targets with one link for all of it. */
export class GatewayModel {
  readonly inbound: LinkDirection;
  readonly outbound: LinkDirection;
  /** Set once, before the first attempt. */
  policy!: LinkPolicy;
  readonly #simulation: Simulation;
  readonly #serviceMilliseconds: () => number;
  #connects = 0;

  constructor(options: {
    readonly simulation: Simulation;
    readonly megabitsPerSecond: number;
    readonly serviceMilliseconds: () => number;
  }) {
    const { simulation, megabitsPerSecond } = options;
    this.#simulation = simulation;
    this.#serviceMilliseconds = options.serviceMilliseconds;
    this.inbound = new LinkDirection(simulation, megabitsPerSecond);
    this.outbound = new LinkDirection(simulation, megabitsPerSecond);
  }

  /** Receives an attempt of a caller. */
  handle(attempt: Attempt): void {
    this.inbound.send(requestBytes, () => {
      this.policy.countIn(requestBytes);
      if (attempt.isOver) return;
      const retryAfter = this.policy.admit(attempt);
      if (retryAfter === undefined) return this.#connect(attempt, 1);
      this.#refuse(attempt, retryAfter);
    });
  }

  #refuse(attempt: Attempt, retryAfter: number): void {
    this.policy.countOut(refusalBytes);
    this.outbound.send(
      refusalBytes,
      () => !attempt.isOver && attempt.finished(retryAfter),
    );
  }

  #connect(attempt: Attempt, count: number): void {
    this.#connects += 1;
    if (count === 1 && this.#connects % newConnectionInterval !== 0) {
      return this.#forward(attempt);
    }
    if (count > maximumConnects) return this.#refuse(attempt, 100);
    let isDone = false;
    this.outbound.send(
      handshakeBytes,
      () =>
        this.inbound.send(handshakeBytes, () => {
          if (isDone || attempt.isOver) return;
          isDone = true;
          this.#forward(attempt);
        }),
    );
    this.#simulation.schedule(connectMilliseconds, () => {
      if (isDone || attempt.isOver) return;
      isDone = true;
      this.#connect(attempt, count + 1);
    });
  }

  #forward(attempt: Attempt): void {
    this.policy.countOut(requestBytes);
    this.outbound.send(requestBytes, () => {
      this.#simulation.schedule(
        this.#serviceMilliseconds(),
        () => this.#respond(attempt),
      );
    });
  }

  #respond(attempt: Attempt): void {
    if (attempt.isOver) return;
    let received = 0;
    let record: (bytes: number) => void = () => {};
    const flow = new Flow(this.inbound, (bytes) => {
      if (attempt.isOver) return;
      if (received === 0) this.policy.recordHead(attempt);
      received += bytes;
      record(bytes);
      if (received >= attempt.bytes) this.#passOn(attempt);
    });
    attempt.onEnd.push(() => flow.cancel());
    record = this.policy.receive(attempt, flow);
    flow.write(attempt.bytes);
  }

  #passOn(attempt: Attempt): void {
    let delivered = 0;
    const flow = new Flow(this.outbound, (bytes) => {
      delivered += bytes;
      if (delivered >= attempt.bytes && !attempt.isOver) {
        attempt.finished("served");
      }
    });
    attempt.onEnd.push(() => flow.cancel());
    this.policy.send(attempt, flow);
  }
}
