import { Contact } from "./contact_record.ts";
import type { ContactRecord } from "./contact_record.ts";
import type { KeyHistory } from "./key_history.ts";
import type { KeyedOutcome, KeyedRequest } from "./keyed_request.ts";

/** An acknowledged key is in force everywhere after this time. */
const applyMilliseconds = 2500;
/** Added while a control VM is away. */
const stretchMilliseconds = 5000;
const unauthorizedStatus = 401;

/** Checks that gateways in contact return 401 to no request with a valid key. */
export class RejectedKeyMonitor {
  readonly #history: KeyHistory;
  readonly #ends: (KeyedRequest & KeyedOutcome)[] = [];
  /** Number of requests with valid keys, after {@link findViolations}. */
  judgedCount = 0;

  constructor(history: KeyHistory) {
    this.#history = history;
  }

  recordOutcome(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.#ends.push({ ...request, ...outcome });
  }

  findViolations(
    contacts: Pick<ContactRecord, "contactOf">,
  ): readonly string[] {
    const judged = this.#ends.filter((each) => this.#isJudged(each, contacts));
    this.judgedCount = judged.length;
    return judged.filter(({ status }) => status === unauthorizedStatus).map(
      ({ id, gateway, key, sentAt }) =>
        `at ${
          (sentAt / 1000).toFixed(3)
        } s: ${gateway} rejected ${id} with 401, sent ${
          Math.round(sentAt - this.#history.addedAt(key!))
        } ms after the acknowledgement of its key`,
    );
  }

  #isJudged(
    { gateway, key, sentAt, endedAt, status }: KeyedRequest & KeyedOutcome,
    contacts: Pick<ContactRecord, "contactOf">,
  ): boolean {
    if (key === undefined || status === 0) return false;
    if (endedAt >= this.#history.removalSentAt(key)) return false;
    const contact = contacts.contactOf(gateway, sentAt, endedAt);
    if (contact === Contact.none) return false;
    const bound = contact === Contact.full
      ? applyMilliseconds
      : applyMilliseconds + stretchMilliseconds;
    return sentAt > this.#history.addedAt(key) + bound;
  }
}
