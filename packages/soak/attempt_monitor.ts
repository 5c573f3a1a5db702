import type { ProcessLife } from "./process_life.ts";

/** How a request of a caller ended. */
export const AttemptEnd = {
  answered: "answered",
  /** The connection was refused. */
  refused: "refused",
  /** The connection broke before the request was sent. */
  unsent: "unsent",
  /** The connection broke after the request was sent, without an answer. */
  reset: "reset",
  /** The answer broke off. */
  cut: "cut",
  /** The caller gave up. */
  timedOut: "timed out",
} as const;
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd];

/** A request that a caller sent to a gateway. */
export interface Attempt {
  readonly id: string;
  /** Name of the gateway's process. */
  readonly gateway: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly end: AttemptEnd;
  /** Whether the connection had carried a request before. */
  readonly isReused: boolean;
  /** Whether the request reached a target. */
  readonly hasArrived: boolean;
}

/** A request that crosses the close of an idle connection ends within this. */
const crossingMilliseconds = 200;
/** Connections of a process that fails may break before its exit is noticed. */
const exitNoticeMilliseconds = 250;
const describedAttempts = 3;

/** Records how requests end, and finds those that a process left unanswered. */
export class AttemptMonitor {
  readonly counts: Record<AttemptEnd, number> = {
    [AttemptEnd.answered]: 0,
    [AttemptEnd.refused]: 0,
    [AttemptEnd.unsent]: 0,
    [AttemptEnd.reset]: 0,
    [AttemptEnd.cut]: 0,
    [AttemptEnd.timedOut]: 0,
  };
  readonly #unanswered: Attempt[] = [];

  record(attempt: Attempt): void {
    this.counts[attempt.end] += 1;
    const { end } = attempt;
    if (end === AttemptEnd.reset || end === AttemptEnd.cut) {
      this.#unanswered.push(attempt);
    }
  }

  /**
   * Finds requests that a process accepted and left without an answer although
   * nothing but a planned stop or a reload disturbed it.
   */
  findViolations(lives: readonly ProcessLife[]): readonly string[] {
    return lives.flatMap((life) => {
      const lost = this.#unanswered.filter((each) => isLost(each, life));
      if (lost.length === 0) return [];
      const details = lost.slice(0, describedAttempts).map((each) =>
        describe(each, life)
      );
      return [
        `${life.describe()} left ${lost.length} requests without an answer: ${
          details.join("; ")
        }`,
      ];
    });
  }
}

function isLost(attempt: Attempt, life: ProcessLife): boolean {
  const { gateway, sentAt, endedAt } = attempt;
  if (gateway !== life.name || sentAt < life.startedAt) return false;
  const { exit, violations } = life;
  if (exit && sentAt > exit.at) return false;
  // The exit itself is the violation.
  const hasFailed = exit !== undefined && violations.length > 0 &&
    endedAt > exit.at - exitNoticeMilliseconds;
  if (hasFailed) return false;
  return life.isUndisturbed(sentAt, endedAt) && !isCrossing(attempt);
}

// The process may close a kept connection while the next request is on its way.
function isCrossing(attempt: Attempt): boolean {
  return attempt.end === AttemptEnd.reset && attempt.isReused &&
    !attempt.hasArrived &&
    attempt.endedAt - attempt.sentAt <= crossingMilliseconds;
}

function describe(attempt: Attempt, life: ProcessLife): string {
  const { id, end, sentAt, endedAt, isReused, hasArrived } = attempt;
  const since = Math.round(sentAt - life.startedAt);
  return `${id} sent at ${since} ms, ${end} after ${
    Math.round(endedAt - sentAt)
  } ms, on a ${isReused ? "kept" : "new"} connection, ${
    hasArrived ? "at a target" : "at no target"
  }`;
}
