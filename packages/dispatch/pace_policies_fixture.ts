import { PaceDecision, PaceReason, TargetPace } from "./target_pace.ts";
import type { PaceEnd, PaceSituation } from "./target_pace.ts";
import { ExchangeEnd } from "./exchange_end.ts";

/** Circumstances of a decision in the comparison of policies. */
export interface PolicySituation extends PaceSituation {
  readonly slots: number;
  /** Milliseconds since the target appeared. */
  readonly ageMilliseconds: number;
}

/** Slow start of one target at one chooser, as compared in a simulation. */
export abstract class PacePolicy {
  /** Whether the target must be probed before the chooser's first request. */
  readonly probes: boolean = false;

  /** Whether one more request may be sent; used by {@link decide}. */
  protected abstract allows(situation: PolicySituation): boolean;

  decide(situation: PolicySituation): PaceDecision {
    return this.allows(situation) ? PaceDecision.open : PaceDecision.closed;
  }

  recordReceived(_share: number): void {}

  recordSend(): void {}

  recordEnd(_end: ExchangeEnd, _at: PaceEnd): void {}
}

/** Creates the policy of one chooser. */
export type PolicyFactory = (
  options: {
    readonly now: number;
    readonly slots: number;
    readonly random: () => number;
  },
) => PacePolicy;

/** Baseline: no pacing. */
class Unpaced extends PacePolicy {
  protected override allows(): boolean {
    return true;
  }
}

const rampMilliseconds = 2000;

/** Baseline: a linear ramp; choosers join it at random times. */
class LinearRamp extends PacePolicy {
  readonly #phase: number;

  constructor(phase: number) {
    super();
    this.#phase = phase;
  }

  protected override allows(situation: PolicySituation): boolean {
    const { ageMilliseconds, slots, inFlight, choosers } = situation;
    const share = ageMilliseconds / rampMilliseconds;
    if (share >= 1) return true;
    const hasJoined = choosers === 1 || this.#phase < share;
    return hasJoined && inFlight < Math.max(1, Math.floor(slots * share));
  }
}

/** Baseline: each chooser grows its own bound by the responses it receives. */
class ResponseGrowth extends PacePolicy {
  override readonly probes: boolean;
  readonly #delayShare: number;
  readonly #slots: number;
  #bound = 1;
  #isOver = false;

  constructor(
    { slots, probes = false, delayShare = 0 }: {
      readonly slots: number;
      readonly probes?: boolean;
      /** Delay relative to the time in which all choosers could send one. */
      readonly delayShare?: number;
    },
  ) {
    super();
    this.probes = probes;
    this.#delayShare = delayShare;
    this.#slots = slots;
  }

  protected override allows(situation: PolicySituation): boolean {
    if (this.#isOver) return true;
    const { ageMilliseconds, choosers, slots, meanMilliseconds } = situation;
    const delay = choosers === 1
      ? 0
      : this.#delayShare * choosers * meanMilliseconds / slots;
    return ageMilliseconds >= delay && situation.inFlight < this.#bound;
  }

  override recordEnd(end: ExchangeEnd): void {
    if (end === ExchangeEnd.answered) {
      this.#bound += 1;
      this.#isOver = this.#bound >= this.#slots;
    } else this.#bound = Math.max(1, Math.floor(this.#bound / 2));
  }
}

/** Bounds the target's share, and leaves the choice to its cost. */
class ShareBound extends PacePolicy {
  protected readonly pace: TargetPace;

  constructor(options: Parameters<PolicyFactory>[0]) {
    super();
    this.pace = new TargetPace({ ...options, reason: PaceReason.appeared });
  }

  protected override allows(situation: PolicySituation): boolean {
    return this.pace.decide(situation) !== PaceDecision.closed;
  }

  override recordReceived(share: number): void {
    this.pace.recordReceived(share);
  }

  override recordSend(): void {
    this.pace.recordSend();
  }

  override recordEnd(end: ExchangeEnd, at: PaceEnd): void {
    this.pace.recordEnd(end, at);
  }
}

/** The policy of the product: sends the target its share while it is paced. */
class Share extends ShareBound {
  override decide(situation: PolicySituation): PaceDecision {
    return this.pace.decide(situation);
  }
}

/** The policies that are compared, by name. */
export const policies = {
  none: () => new Unpaced(),
  "linear ramp": ({ random }) => new LinearRamp(random()),
  responses: ({ slots }) => new ResponseGrowth({ slots }),
  "responses, random delay": ({ slots, random }) =>
    new ResponseGrowth({ slots, delayShare: random() }),
  "responses, probe": ({ slots }) =>
    new ResponseGrowth({ slots, probes: true }),
  "responses, delay and probe": ({ slots, random }) =>
    new ResponseGrowth({ slots, delayShare: random(), probes: true }),
  "share as a bound": (options) => new ShareBound(options),
  share: (options) => new Share(options),
} as const satisfies Record<string, PolicyFactory>;
