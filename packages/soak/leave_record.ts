import { Contact } from "./contact_record.ts";
import type { GatewayContacts } from "./contact_record.ts";

/** No request reaches a target later than this after it said that it leaves. */
const drainMilliseconds = 2000;

/** A run of a request at a target that had said that it leaves. */
export interface LateRun {
  readonly id: string;
  readonly target: string;
  /** Name of the gateway that the request was sent to. */
  readonly gateway: string;
  readonly at: number;
  /** Time from the acknowledgement to the run. */
  readonly milliseconds: number;
}

/** Judges which requests reach targets after they have said that they leave. */
export class LeaveRecord {
  /** Runs after an acknowledgement, in order. */
  readonly lateRuns: LateRun[] = [];
  readonly #acknowledgements = new Map<string, number>();
  readonly #gatewayOf: (id: string) => string;

  constructor(options: {
    /** Returns the name of the gateway that a request was sent to. */
    readonly gatewayOf: (id: string) => string;
  }) {
    this.#gatewayOf = options.gatewayOf;
  }

  /** Number of targets whose leave was acknowledged. */
  get count(): number {
    return this.#acknowledgements.size;
  }

  /** Records the first acknowledgement of a leave. */
  recordLeave(target: string, at: number): void {
    this.#acknowledgements.set(target, at);
  }

  recordRun(id: string, target: string, at = performance.now()): void {
    const acknowledgedAt = this.#acknowledgements.get(target);
    if (acknowledgedAt === undefined) return;
    this.lateRuns.push({
      id,
      target,
      gateway: this.#gatewayOf(id),
      at,
      milliseconds: Math.round(at - acknowledgedAt),
    });
  }

  /** Returns a text for each run too late, sent by a gateway in contact. */
  findViolations(contacts: GatewayContacts): readonly string[] {
    return this.lateRuns.filter(({ gateway, at, milliseconds }) =>
      milliseconds > drainMilliseconds &&
      contacts.contactOf(gateway, at, at) === Contact.full
    ).map(({ id, target, gateway, at, milliseconds }) =>
      `at ${
        (at / 1000).toFixed(3)
      } s: ${id} reached ${target} from ${gateway}, ${milliseconds} ms after its leave was acknowledged`
    );
  }
}
