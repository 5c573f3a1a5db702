import type { Flow, Simulation } from "./link_model.ts";
import { LinkPolicy } from "./gateway_model.ts";
import type { Attempt } from "./gateway_model.ts";
import { LinkAdmission } from "./link_admission.ts";
import type { LinkTicket } from "./link_admission.ts";
import { largeBytes, LinkScheduler } from "./link_scheduler.ts";
import type { Transfer } from "./link_scheduler.ts";
import { RouteProfiles } from "./route_profiles.ts";

/** Nothing is paced or refused. */
export class NoPolicy extends LinkPolicy {}

/** A bound on the large responses that are in flight. */
export class BoundPolicy extends LinkPolicy {
  readonly #maximum: number;
  readonly #random: () => number;
  #count = 0;

  constructor(maximum: number, random: () => number) {
    super();
    this.#maximum = maximum;
    this.#random = random;
  }

  override admit(attempt: Attempt): number | undefined {
    if (attempt.bytes <= largeBytes) return undefined;
    if (this.#count >= this.#maximum) return 300 * (0.75 + this.#random() / 2);
    this.#count += 1;
    attempt.onEnd.push(() => (this.#count -= 1));
    return undefined;
  }
}

/** Options of a {@link PacingPolicy}. */
export interface PacingOptions {
  readonly simulation: Simulation;
  /** As in the settings. */
  readonly megabitsPerSecond: number;
  readonly random: () => number;
  /** Whether requests that the link cannot serve in time are refused. */
  readonly admits: boolean;
}

/** Pacing with priority, with admission or without. */
export class PacingPolicy extends LinkPolicy {
  refusals = 0;
  readonly #options: PacingOptions;
  readonly #inbound: LinkScheduler;
  readonly #outbound: LinkScheduler;
  readonly #admission: LinkAdmission;
  readonly #profiles = new RouteProfiles();
  readonly #tickets = new Map<Attempt, LinkTicket>();
  readonly #admittedAt = new Map<Attempt, number>();
  #isAdvancing = false;
  #wakeAt = Infinity;

  constructor(options: PacingOptions) {
    super();
    this.#options = options;
    const { megabitsPerSecond } = options;
    this.#inbound = new LinkScheduler({ megabitsPerSecond, now: 0 });
    this.#outbound = new LinkScheduler({ megabitsPerSecond, now: 0 });
    this.#admission = new LinkAdmission({
      inbound: this.#inbound,
      outbound: this.#outbound,
    });
  }

  override admit(attempt: Attempt): number | undefined {
    const { route, priority, deadlineAt } = attempt;
    const profile = this.#profiles.of(route);
    const request = { priority, deadlineAt, profile };
    const decision = this.#admission.admit(request, this.#now);
    if (decision.kind === "refused" && this.#options.admits) {
      this.refusals += 1;
      const left = deadlineAt - this.#now;
      const wait = Math.max(100, decision.waitMilliseconds);
      return Math.min(
        left / 3,
        wait * (0.75 + this.#options.random() / 2),
      );
    }
    const ticket = decision.kind === "admitted"
      ? decision.ticket
      : this.#admission.expect(request, this.#now);
    this.#admission.recordSent(ticket);
    this.#tickets.set(attempt, ticket);
    this.#admittedAt.set(attempt, this.#now);
    attempt.onEnd.push(() => {
      this.#admission.end(ticket);
      this.#tickets.delete(attempt);
      this.#admittedAt.delete(attempt);
    });
    return undefined;
  }

  override countIn(bytes: number): void {
    this.#inbound.count(bytes, this.#now);
  }

  override countOut(bytes: number): void {
    this.#outbound.count(bytes, this.#now);
  }

  override recordHead(attempt: Attempt): void {
    this.#profiles.record(attempt.route, {
      bytes: attempt.bytes,
      headMilliseconds: this.#now - this.#admittedAt.get(attempt)!,
    });
    const { bytes } = attempt;
    this.#admission.resize(this.#tickets.get(attempt)!, {
      bytesIn: bytes,
      bytesOut: bytes,
    });
  }

  override receive(attempt: Attempt, flow: Flow): (bytes: number) => void {
    const ticket = this.#tickets.get(attempt)!;
    if (attempt.bytes <= largeBytes) {
      return (bytes) => {
        this.countIn(bytes);
        this.#admission.recordIn(ticket, bytes);
      };
    }
    const transfer = this.#open(attempt, this.#inbound, () => flow.resume());
    let left = attempt.bytes;
    return (bytes) => {
      left -= bytes;
      this.#admission.recordIn(ticket, bytes);
      this.#inbound.record(transfer, bytes, this.#now);
      if (left <= 0) return this.#inbound.end(transfer);
      if (transfer.credit > 0) return;
      flow.pause();
      this.#inbound.request(transfer, left, this.#now);
      this.#advance();
    };
  }

  override send(attempt: Attempt, flow: Flow): (bytes: number) => void {
    if (attempt.bytes <= largeBytes) {
      this.countOut(attempt.bytes);
      this.#admission.recordOut(this.#tickets.get(attempt)!, attempt.bytes);
      flow.write(attempt.bytes);
      return () => {};
    }
    const ticket = this.#tickets.get(attempt)!;
    let left = attempt.bytes;
    const transfer = this.#open(attempt, this.#outbound, (granted) => {
      const bytes = Math.min(granted, left);
      left -= bytes;
      this.#admission.recordOut(ticket, bytes);
      flow.write(bytes);
      this.#outbound.record(transfer, bytes, this.#now);
      if (left <= 0) return this.#outbound.end(transfer);
      this.#outbound.request(transfer, left, this.#now);
    });
    this.#outbound.request(transfer, left, this.#now);
    this.#advance();
    return () => {};
  }

  #open(
    attempt: Attempt,
    scheduler: LinkScheduler,
    granted: (bytes: number) => void,
  ): Transfer {
    const { priority, deadlineAt } = attempt;
    const options = { priority, deadlineAt, granted };
    const transfer = scheduler.open(options, this.#now);
    attempt.onEnd.push(() => scheduler.end(transfer));
    return transfer;
  }

  get #now(): number {
    return this.#options.simulation.now;
  }

  #advance(): void {
    if (this.#isAdvancing) return;
    this.#isAdvancing = true;
    const delays = [this.#inbound, this.#outbound].map((each) =>
      each.advance(this.#now) ?? Infinity
    );
    this.#isAdvancing = false;
    const at = this.#now + Math.min(...delays);
    if (at >= this.#wakeAt || at === Infinity) return;
    this.#wakeAt = at;
    this.#options.simulation.schedule(at - this.#now, () => {
      this.#wakeAt = Infinity;
      this.#advance();
    });
  }
}
