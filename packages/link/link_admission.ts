import { busyShare, largeBytes, precedes } from "./link_scheduler.ts";
import type { LinkScheduler } from "./link_scheduler.ts";
import type { RouteProfile } from "./route_profiles.ts";

/** Larger responses are passed on while they are received. */
const maximumBufferedBytes = 256 * 1024;

/**
 * A small response waits this often for the queue of small messages: with its
 * connection, its request and itself. The model of 1.5 Mbit/s and 5 kB serves
 * 0.81, 0.87 and 0.97 after a burst with one, two and three.
 */
const smallQueuePasses = 3;
/**
 * Added to the wait for other large responses, whose sizes are estimates. The
 * model of the second site serves 0.72 in a burst without it, and 0.93 so.
 */
const queueMarginShare = 0.4;

/** A request whose response is going to use the link. */
export interface LinkRequest {
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number;
  /** Time after which the response is of no use. */
  readonly deadlineAt: number;
  /** What is expected of its response. */
  readonly profile: RouteProfile;
}

/** The use of the link that one admitted request is expected to make. */
export interface LinkTicket {
  readonly priority: number;
  readonly deadlineAt: number;
  /** Whether the response is, or is expected to be, a large one. */
  isLarge: boolean;
  /** Whether the request was sent, so that its response may be on its way. */
  isSent: boolean;
  /** Bytes that are expected from the target, and that are left for the caller. */
  leftIn: number;
  leftOut: number;
  /** Time at which the head of the response is expected. */
  headAt: number;
}

/** Whether a response can be received and passed on within its deadline. */
export type LinkDecision =
  | { readonly kind: "admitted"; readonly ticket: LinkTicket }
  | {
    readonly kind: "refused";
    /** Time after which the link is expected to have room. */
    readonly waitMilliseconds: number;
    /** Bytes that are expected before it, and its own. */
    readonly queuedBytes: number;
  };

/** Options of a {@link LinkAdmission}. */
export interface LinkAdmissionOptions {
  readonly inbound: LinkScheduler;
  readonly outbound: LinkScheduler;
}

/**
 * Admits requests whose responses the link can carry within their deadlines,
 * besides those of all requests that it has admitted. A request is refused only
 * if its own response, or an admitted one of the same priority, would be late.
 */
export class LinkAdmission {
  readonly #options: LinkAdmissionOptions;
  /** Tickets of large responses. */
  readonly #large = new Set<LinkTicket>();
  /** Tickets of small responses of requests that were sent, and their bytes. */
  readonly #small = new Set<LinkTicket>();
  #smallIn = 0;
  #smallOut = 0;

  constructor(options: LinkAdmissionOptions) {
    this.#options = options;
  }

  /** Number of large responses that are expected or on their way. */
  get largeCount(): number {
    return this.#large.size;
  }

  admit(request: LinkRequest, now: number): LinkDecision {
    const ticket = createTicket(request, now);
    const late = this.#lateness(ticket, now);
    if (late > 0) {
      if (!ticket.isLarge) this.#recordDemand(ticket, now);
      return this.#refusal(late, ticket);
    }
    this.#add(ticket);
    return { kind: "admitted", ticket };
  }

  /** Counts a response that is passed on whatever the link allows. */
  expect(request: LinkRequest, now: number): LinkTicket {
    const ticket = createTicket(request, now);
    this.#add(ticket);
    return ticket;
  }

  /** Records what is left of a response, once its size is known. */
  resize(
    ticket: LinkTicket,
    left: { readonly bytesIn: number; readonly bytesOut: number },
  ): void {
    this.end(ticket);
    ticket.isLarge = left.bytesOut > largeBytes;
    ticket.leftIn = left.bytesIn;
    ticket.leftOut = left.bytesOut;
    this.#add(ticket);
  }

  /** Records that a request is sent to a target, or to another gateway. */
  recordSent(ticket: LinkTicket): void {
    this.end(ticket);
    ticket.isSent = true;
    this.#add(ticket);
  }

  /** Records bytes of a response that have arrived. */
  recordIn(ticket: LinkTicket, bytes: number): void {
    const moved = Math.min(bytes, ticket.leftIn);
    ticket.leftIn -= moved;
    if (this.#small.has(ticket)) this.#smallIn -= moved;
  }

  /** Records bytes of a response that were handed to the link. */
  recordOut(ticket: LinkTicket, bytes: number): void {
    const moved = Math.min(bytes, ticket.leftOut);
    ticket.leftOut -= moved;
    if (this.#small.has(ticket)) this.#smallOut -= moved;
  }

  /** Ends a ticket, whose response uses the link no more. */
  end(ticket: LinkTicket): void {
    this.#large.delete(ticket);
    if (!this.#small.delete(ticket)) return;
    this.#smallIn -= ticket.leftIn;
    this.#smallOut -= ticket.leftOut;
  }

  #add(ticket: LinkTicket): void {
    if (ticket.isLarge) {
      this.#large.add(ticket);
      return;
    }
    if (!ticket.isSent) return;
    this.#small.add(ticket);
    this.#smallIn += ticket.leftIn;
    this.#smallOut += ticket.leftOut;
  }

  #recordDemand({ leftIn, leftOut }: LinkTicket, now: number): void {
    const { inbound, outbound } = this.#options;
    inbound.recordDemand(leftIn, now);
    outbound.recordDemand(leftOut, now);
  }

  #refusal(late: number, ticket: LinkTicket): LinkDecision {
    const { outbound } = this.#options;
    const queuedBytes = outbound.debt + this.#smallOut +
      [...this.#large].reduce((sum, { leftOut }) => sum + leftOut, 0);
    return {
      kind: "refused",
      waitMilliseconds: late,
      queuedBytes: Math.round(queuedBytes + ticket.leftOut),
    };
  }

  /** Returns by how much a response, or one that it delays, would be late. */
  #lateness(ticket: LinkTicket, now: number): number {
    const { inbound, outbound } = this.#options;
    inbound.settle(now);
    outbound.settle(now);
    return ticket.isLarge
      ? this.#latenessOfLarge(ticket, now)
      : this.#latenessOfSmall(ticket, now);
  }

  // While a direction carries less than it can, no response waits for it: those
  // that are expected wait for targets.
  // Large responses give way to small ones. What was counted inbound has arrived
  // already; what is expected still waits.
  #latenessOfSmall(ticket: LinkTicket, now: number): number {
    const { inbound, outbound } = this.#options;
    const queued = Math.max(
      isBusy(inbound, now) ? this.#smallIn / inbound.rate : 0,
      outbound.debt / outbound.rate +
        (isBusy(outbound, now) ? this.#smallOut / outbound.rate : 0),
    );
    const ownMilliseconds = ticket.leftIn / inbound.rate +
      ticket.leftOut / outbound.rate;
    const wait = Math.max(ticket.headAt - now, queued * smallQueuePasses);
    return now + wait + ownMilliseconds - ticket.deadlineAt;
  }

  #latenessOfLarge(ticket: LinkTicket, now: number): number {
    const { inbound, outbound } = this.#options;
    const order = [...this.#large].sort((left, right) =>
      precedes(left, right) ? -1 : 1
    );
    const at = order.findIndex((each) => precedes(ticket, each));
    const position = at < 0 ? order.length : at;
    const rates = {
      in: inbound.rateLeft(now),
      out: outbound.rateLeft(now),
    };
    let clock = {
      in: now,
      out: now + outbound.debt / outbound.rate,
    };
    for (const each of order.slice(0, position)) {
      clock = endOf(each, clock, rates);
    }
    const own = endOf(ticket, clock, rates);
    const queued = Math.max(clock.in, clock.out) - now;
    const late = own.out + queued * queueMarginShare - ticket.deadlineAt;
    if (late > 0) return late;
    let withTicket = own;
    for (const each of order.slice(position)) {
      clock = endOf(each, clock, rates);
      withTicket = endOf(each, withTicket, rates);
      const isBroken = each.priority === ticket.priority &&
        clock.out <= each.deadlineAt && withTicket.out > each.deadlineAt;
      if (isBroken) return withTicket.out - each.deadlineAt;
    }
    return late;
  }
}

function createTicket(
  { priority, deadlineAt, profile }: LinkRequest,
  now: number,
): LinkTicket {
  const { meanBytes, headMilliseconds } = profile;
  return {
    priority,
    deadlineAt,
    isLarge: meanBytes > largeBytes,
    isSent: false,
    leftIn: meanBytes,
    leftOut: meanBytes,
    headAt: now + headMilliseconds,
  };
}

function isBusy({ meter, rate }: LinkScheduler, now: number): boolean {
  return meter.rate(now) >= rate * busyShare;
}

/** Times, or rates in bytes a millisecond, of both directions. */
interface Directions {
  readonly in: number;
  readonly out: number;
}

/** Returns when both directions have carried a response after those before it. */
function endOf(
  { headAt, leftIn, leftOut }: LinkTicket,
  clock: Directions,
  rates: Directions,
): Directions {
  const endIn = leftIn > 0
    ? Math.max(clock.in, headAt) + leftIn / rates.in
    : clock.in;
  const isPassedOnWhole = leftOut <= maximumBufferedBytes;
  const outMilliseconds = leftOut / rates.out;
  return {
    in: endIn,
    out: isPassedOnWhole
      ? Math.max(clock.out, leftIn > 0 ? endIn : 0) + outMilliseconds
      : Math.max(clock.out + outMilliseconds, endIn),
  };
}
