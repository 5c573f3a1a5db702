import { Contact } from "./contact_record.ts";
import type { GatewayContacts } from "./contact_record.ts";

/** A VM that was disturbed is out of contact for this long afterwards. */
const contactMilliseconds = 3000;
/** Time for which most control VMs have to have been connected. */
const majorityMilliseconds = 7000;

/** What the links of a fleet went through. */
export const LinkFaultKind = {
  /** No path in one direction or both. */
  cut: "cut",
  /** The open connections carry nothing any more; new ones work. */
  silence: "silence",
  reset: "reset",
  delay: "delay",
} as const;
export type LinkFaultKind = typeof LinkFaultKind[keyof typeof LinkFaultKind];

/** A fault of the link between two VMs; `to` is `from` if it took no time. */
export interface LinkDisturbance {
  readonly kind: LinkFaultKind;
  readonly source: string;
  readonly destination: string;
  from: number;
  to: number;
}

interface Span {
  readonly from: number;
  readonly to: number;
}

/**
 * Tells from the faults of links who was in contact when. A single silence of
 * connections excuses nobody, as new ones work, although the operators' rules
 * count it as a reset: a VM has to detect it.
 */
export class LinkContacts implements GatewayContacts {
  readonly #control: readonly string[];
  readonly #disturbances: readonly LinkDisturbance[];
  /** Silences that recur, from one to the next. */
  readonly #losses: readonly LinkDisturbance[];

  constructor(options: {
    /** Names of the control VMs. */
    readonly control: readonly string[];
    readonly disturbances: readonly LinkDisturbance[];
  }) {
    this.#control = options.control;
    this.#disturbances = options.disturbances;
    this.#losses = findLosses(options.disturbances);
  }

  /** Returns the contact of a gateway throughout a time. */
  contactOf(gateway: string, from: number, to: number): Contact {
    const span = { from: from - contactMilliseconds, to };
    if (!this.#hasPaths(gateway, span)) return Contact.none;
    if (this.#isStable(span)) return Contact.full;
    const long = { from: from - majorityMilliseconds, to };
    return this.#hasMajority(long) && !this.#isCoreSlow(long)
      ? Contact.unsteady
      : Contact.none;
  }

  /** Processes run all the while. */
  lifeAt(): number {
    return 0;
  }

  #hasPaths(gateway: string, span: Span): boolean {
    const isHarmed = this.#within(span).some((each) =>
      each.kind !== LinkFaultKind.cut && touches(each, gateway)
    );
    if (isHarmed) return false;
    return this.#moments(span).every((at) =>
      this.#control.every((each) =>
        this.#isConnected(gateway, each, at) || !this.#hasQuorum(each, at)
      )
    );
  }

  #isStable(span: Span): boolean {
    const hasEvent = this.#coreWithin(span).some((each) =>
      each.kind === LinkFaultKind.reset ||
      [each.from, each.to].some((at) => at >= span.from && at <= span.to)
    );
    return !hasEvent && this.#hasMajority(span) && !this.#isCoreSlow(span);
  }

  #hasMajority(span: Span): boolean {
    return this.#moments(span).every((at) =>
      this.#control.some((each) => this.#hasQuorum(each, at))
    );
  }

  #isCoreSlow(span: Span): boolean {
    return this.#coreWithin(span).some(({ kind }) =>
      kind === LinkFaultKind.delay || kind === LinkFaultKind.silence
    );
  }

  #hasQuorum(control: string, at: number): boolean {
    const reached = this.#control.filter((each) =>
      each === control || this.#isConnected(control, each, at)
    );
    return reached.length > this.#control.length / 2;
  }

  #isConnected(left: string, right: string, at: number): boolean {
    return !this.#disturbances.some((each) =>
      each.kind === LinkFaultKind.cut && each.from <= at && at <= each.to &&
      touches(each, left) && touches(each, right)
    );
  }

  /** Moments of a time between which no cut begins or ends. */
  #moments({ from, to }: Span): readonly number[] {
    const changes = this.#disturbances
      .filter(({ kind }) => kind === LinkFaultKind.cut)
      .flatMap((each) => [each.from, each.to])
      .filter((at) => at > from && at < to);
    return [from, to, ...changes];
  }

  #coreWithin(span: Span): readonly LinkDisturbance[] {
    return this.#within(span).filter(({ source }) =>
      this.#control.includes(source)
    );
  }

  /** Disturbances in a time, without silences that do not recur. */
  #within({ from, to }: Span): readonly LinkDisturbance[] {
    return [
      ...this.#disturbances.filter(({ kind }) =>
        kind !== LinkFaultKind.silence
      ),
      ...this.#losses,
    ].filter((each) => each.from <= to && each.to >= from);
  }
}

function touches({ source, destination }: LinkDisturbance, vm: string) {
  return source === vm || destination === vm;
}

// A link that loses its connections again and again is one that loses packets.
function findLosses(
  disturbances: readonly LinkDisturbance[],
): readonly LinkDisturbance[] {
  const silences = disturbances.filter(({ kind }) =>
    kind === LinkFaultKind.silence
  );
  return silences.flatMap((each) =>
    silences.filter(({ source, destination, from }) =>
      source === each.source && destination === each.destination &&
      from > each.from && from <= each.from + contactMilliseconds
    ).map(({ from }) => ({ ...each, to: from }))
  );
}
