import type { ProcessLife } from "./process_life.ts";

/** A process that was disturbed is out of contact for this long afterwards. */
const contactMilliseconds = 3000;
/** Time for which most control VMs have to have run while one is away. */
const majorityMilliseconds = 7000;
const ignoredSignals: ReadonlySet<NodeJS.Signals> = new Set(["SIGHUP"]);

/** What a gateway may be held to at a moment. */
export const Contact = {
  /** Neither the gateway nor a control VM was disturbed lately. */
  full: "full",
  /** One control VM was; more than half of them ran all the while. */
  unsteady: "unsteady",
  none: "none",
} as const;
export type Contact = typeof Contact[keyof typeof Contact];

/** Lives of the processes of one VM, in order. */
export type Lives = readonly ProcessLife[];

interface Disturbance {
  readonly from: number;
  readonly to: number;
}

/** Tells what gateways may be held to. */
export interface GatewayContacts {
  /** Returns the contact of a gateway throughout a time. */
  contactOf(gateway: string, from: number, to: number): Contact;
  /** Returns the process of a gateway that ran at a moment, as its start. */
  lifeAt(gateway: string, at: number): number | undefined;
}

/** Tells from the signals that processes received who was in contact when. */
export class ContactRecord implements GatewayContacts {
  readonly #gateways: ReadonlyMap<string, Lives>;
  readonly #control: readonly (readonly Disturbance[])[];

  constructor(options: {
    /** By the names of the gateways. */
    readonly gateways: ReadonlyMap<string, Lives>;
    readonly control: readonly Lives[];
  }) {
    this.#gateways = options.gateways;
    this.#control = options.control.map(disturbancesOf);
  }

  /** Returns the contact of a gateway throughout a time. */
  contactOf(gateway: string, from: number, to: number): Contact {
    const since = (start: number) => (each: Disturbance) =>
      each.from <= to && each.to >= start;
    const overlaps = since(from);
    const lives = this.#gateways.get(gateway) ?? [];
    const hasRun = this.lifeAt(gateway, from) !== undefined &&
      !disturbancesOf(lives).some(overlaps);
    if (!hasRun) return Contact.none;
    const isSteady = this.#control.every((each) => !each.some(overlaps));
    if (isSteady) return Contact.full;
    const lately = since(from - majorityMilliseconds);
    return mostRan(this.#control.map((each) => each.filter(lately)))
      ? Contact.unsteady
      : Contact.none;
  }

  /** Returns the process of a gateway that ran at a moment, as its start. */
  lifeAt(gateway: string, at: number): number | undefined {
    const lives = this.#gateways.get(gateway) ?? [];
    return lives.find(({ startedAt, exit }) =>
      startedAt <= at && (exit === undefined || exit.at > at)
    )?.startedAt;
  }
}

// Only one VM at a time may be away.
function mostRan(disturbed: readonly (readonly Disturbance[])[]): boolean {
  return disturbed.every((own, at) =>
    disturbed.slice(at + 1).every((others) =>
      own.every((each) =>
        others.every((other) => each.to < other.from || other.to < each.from)
      )
    )
  );
}

/** Times in which a VM was disturbed, and for as long after it as is excused. */
function disturbancesOf(lives: Lives): readonly Disturbance[] {
  return lives.flatMap((life) => {
    const moments = [
      life.startedAt,
      ...life.signals.filter(({ signal }) => !ignoredSignals.has(signal)).map((
        { at },
      ) => at),
      ...(life.exit ? [life.exit.at] : []),
    ];
    return moments.map((from) => ({ from, to: from + contactMilliseconds }));
  });
}
