import { itemId, ItemKind } from "@kingcupglade/items";
import type { StoredItems } from "@kingcupglade/items";
import {
  packAnswer,
  QuotaLender,
  totalAllowance,
  unpackReport,
} from "@kingcupglade/quotas";
import type {
  PackedAnswer,
  QuotaCall,
  QuotaReply,
  QuotaReport,
  QuotaSettings,
} from "@kingcupglade/quotas";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { FleetReplica } from "./leader_session.ts";
import type { Watch, WatchOwnPart } from "./watch.ts";

/**
 * Shortest time between two answers to one gateway that only ask for returns; a
 * gateway returns what it can within a round trip.
 */
const wakeIntervalMilliseconds = 100;

/** Options of a {@link QuotaDirectory}. */
export interface QuotaDirectoryOptions {
  readonly replica: Pick<FleetReplica, "state">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly term: number;
  readonly quotas: QuotaSettings;
  /** Answers the watch of a gateway now. */
  readonly wake: (gateway: string) => void;
}

/** Lends the limits of workspaces to gateways, during one term as leader. */
export class QuotaDirectory {
  readonly #options: QuotaDirectoryOptions;
  readonly #lender: QuotaLender;
  readonly #wokenAt = new Map<string, number>();

  constructor(options: QuotaDirectoryOptions) {
    this.#options = options;
    const { replica, clock, quotas, term } = options;
    // The predecessor may have lent by this state, and by none after it.
    const { items: itemsBefore } = replica.state;
    this.#lender = new QuotaLender({
      term,
      windowMilliseconds: quotas.windowMilliseconds,
      startedAt: clock.now(),
      lentBefore: (workspace) => {
        const total = this.#total(itemsBefore, workspace);
        return Number.isFinite(total) ? total : 0;
      },
      total: (workspace) => this.#total(replica.state.items, workspace),
    });
  }

  /** Records the report in a watch request, if there is one. */
  recordWatch(watch: Watch): void {
    const report = unpackReport(watch.quotas);
    if (report) this.#record(watch.gateway, report);
  }

  /**
   * Adds the answer to the report in a watch request to the response. A leader
   * that was never confirmed lends nothing.
   */
  answerWatch(watch: Watch, own: WatchOwnPart): WatchOwnPart {
    const { confirmedAgeMilliseconds } = own;
    const report = unpackReport(watch.quotas);
    if (!report || confirmedAgeMilliseconds === undefined) return own;
    return {
      ...own,
      quotas: this.#answer(watch.gateway, report, confirmedAgeMilliseconds),
    };
  }

  /**
   * Handles the call of a gateway that is short of allowance.
   *
   * @param confirmedAgeMilliseconds Time since this leader was confirmed;
   * undefined if it never was.
   */
  handleCall(
    { gateway, report: packed }: QuotaCall,
    confirmedAgeMilliseconds: number | undefined,
  ): QuotaReply {
    const report = unpackReport(packed);
    if (!report || confirmedAgeMilliseconds === undefined) {
      return { answer: null };
    }
    this.#record(gateway, report);
    return { answer: this.#answer(gateway, report, confirmedAgeMilliseconds) };
  }

  /** Drops what has lapsed, and asks for returns that are due. */
  tick(): void {
    const now = this.#options.clock.now();
    this.#lender.expire(now);
    this.#wakeDebtors(now);
    for (const [gateway, wokenAt] of this.#wokenAt) {
      if (now - wokenAt > wakeIntervalMilliseconds) {
        this.#wokenAt.delete(gateway);
      }
    }
  }

  #record(gateway: string, report: QuotaReport): void {
    this.#lender.record(gateway, report, this.#options.clock.now());
  }

  #answer(
    gateway: string,
    report: QuotaReport,
    confirmedAgeMilliseconds: number,
  ): PackedAnswer {
    const { clock, logger } = this.#options;
    const now = clock.now();
    const answer = this.#lender.answer(gateway, report, {
      now,
      confirmedAgeMilliseconds,
    });
    for (const [workspace, allowance] of answer.rows) {
      logger.debug("quota-lent", {
        gateway,
        workspace,
        allowance,
        report: report.number,
        outstanding: this.#lender.outstanding(workspace),
        total: this.#total(this.#options.replica.state.items, workspace),
      });
    }
    this.#wakeDebtors(now);
    return packAnswer(answer);
  }

  #wakeDebtors(now: number): void {
    for (const gateway of this.#lender.takeDebtors()) {
      const wokenAt = this.#wokenAt.get(gateway) ?? -Infinity;
      if (now - wokenAt < wakeIntervalMilliseconds) continue;
      this.#wokenAt.set(gateway, now);
      // The answer that is being created comes first.
      setImmediate(() => this.#options.wake(gateway));
    }
  }

  #total(items: StoredItems, name: string): number {
    const id = itemId({ kind: ItemKind.workspace, name });
    const content = items.get(id)?.content;
    return content?.kind === ItemKind.workspace
      ? totalAllowance(content, this.#options.quotas)
      : 0;
  }
}
