/** Answers that say that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A target that holds positions for a time. */
export interface Holder {
  readonly name: string;
  /** Whether it is up and its hold on a position lasts. */
  holds(position: number): boolean;
}

interface SeenRequest {
  readonly mayRepeat: boolean;
  runs: number;
  /** The answer that its caller got; 0 for none. */
  status: number;
}

/**
 * What callers and targets have seen, checked as it comes: non-idempotent
 * requests run once at most, refusals are true, answers are the caller's own,
 * and positions have one owner.
 */
export class Promises {
  readonly violations: string[] = [];
  readonly #requests = new Map<string, SeenRequest>();
  readonly #holders: Holder[] = [];
  served = 0;

  /** Requests that were asked. */
  get asked(): number {
    return this.#requests.size;
  }

  /** Takes in a target of a keyed service. */
  watch(holder: Holder): void {
    this.#holders.push(holder);
  }

  /** Takes in that a caller asks. */
  noteAsked(id: string, mayRepeat: boolean): void {
    this.#requests.set(id, { mayRepeat, runs: 0, status: 0 });
  }

  /** Takes in that a target begins to run a request. */
  noteRun(id: string, target: string): void {
    const seen = this.#requests.get(id);
    if (!seen) return this.#fail(`${target} runs ${id}, which nobody asked`);
    seen.runs += 1;
    if (!seen.mayRepeat && seen.runs > 1) {
      this.#fail(`${id} runs ${seen.runs} times, now at ${target}`);
    }
    if (notRunStatuses.has(seen.status)) {
      this.#fail(`${id} runs at ${target} after answer ${seen.status}`);
    }
  }

  /** Takes in that an owner begins to run a request for a position. */
  noteOwner(id: string, run: { target: string; position: number }): void {
    const others = this.#holders.filter((each) =>
      each.name !== run.target && each.holds(run.position)
    );
    if (others.length === 0) return;
    const names = others.map(({ name }) => name).join(", ");
    this.#fail(`${id}: ${run.target} and ${names} hold ${run.position}`);
  }

  /** Takes in a caller's answer. */
  noteAnswer(
    id: string,
    answer: { readonly status: number; readonly body: string },
  ): void {
    const seen = this.#requests.get(id)!;
    seen.status = answer.status;
    if (answer.status === 200) {
      this.served += 1;
      if (answer.body !== id) this.#fail(`${id} is answered "${answer.body}"`);
    }
    if (notRunStatuses.has(answer.status) && !seen.mayRepeat && seen.runs > 0) {
      this.#fail(`${id} is answered ${answer.status} and has run`);
    }
  }

  #fail(violation: string): void {
    this.violations.push(violation);
  }
}
