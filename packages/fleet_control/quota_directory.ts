import { itemId, ItemKind } from "@kingcupglade/items";
import type { StoredItems } from "@kingcupglade/items";
import {
  BorrowerRecorder,
  packAnswer,
  ProposalResult,
  QuotaLender,
  totalAllowance,
  unpackReport,
} from "@kingcupglade/quotas";
import type {
  BorrowerChange,
  PackedAnswer,
  QuotaCall,
  QuotaReply,
  QuotaReport,
  QuotaSettings,
} from "@kingcupglade/quotas";
import { NotLeaderError, UnknownOutcomeError } from "@kingcupglade/replica";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import { hasLimits, ItemsMemo } from "./items_memo.ts";
import type { FleetReplica } from "./leader_session.ts";
import type { Watch, WatchOwnPart } from "./watch.ts";

/**
 * Shortest time between two answers to one gateway that only ask for returns; a
 * gateway returns what it can within a round trip.
 */
const wakeIntervalMilliseconds = 100;

/** Options of a {@link QuotaDirectory}. */
export interface QuotaDirectoryOptions {
  readonly replica: Pick<FleetReplica, "state" | "propose">;
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
  readonly #recorder: BorrowerRecorder;
  readonly #lender: QuotaLender;
  readonly #startedAt: number;
  readonly #wokenAt = new Map<string, number>();
  /** Gateways that may be lent more than in the last answer to their watch. */
  readonly #extended = new Set<string>();
  #isSettlementLogged = false;
  readonly #hasLimits = new ItemsMemo(hasLimits);

  constructor(options: QuotaDirectoryOptions) {
    this.#options = options;
    const { replica, clock, quotas, term } = options;
    // The predecessor may have lent by this state, and by none after it.
    const { items: itemsBefore } = replica.state;
    this.#startedAt = clock.now();
    this.#recorder = new BorrowerRecorder({
      committed: () => replica.state.borrowers,
      isNeeded: () => this.#hasLimits.of(replica.state.items),
      propose: (change, done) => void this.#propose(change, done),
      onExtended: (gateways) => this.#extend(gateways),
    });
    this.#lender = new QuotaLender({
      term,
      windowMilliseconds: quotas.windowMilliseconds,
      startedAt: this.#startedAt,
      recorder: this.#recorder,
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
    // A gateway ignores an answer if that to a later call has reached it.
    const isOutdated = report !== undefined &&
      !this.#lender.isNewest(watch.gateway, report);
    if (!isOutdated) this.#extended.delete(watch.gateway);
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

  /** Whether the watch of a gateway should be answered at once. */
  isAnswerDue(gateway: string): boolean {
    return this.#extended.has(gateway);
  }

  /** Drops what has lapsed, and asks for returns that are due. */
  tick(): void {
    const now = this.#options.clock.now();
    this.#lender.tick(now);
    this.#recorder.tick(now);
    this.#logSettlement(now);
    this.#wakeDebtors(now);
    for (const [gateway, wokenAt] of this.#wokenAt) {
      if (now - wokenAt > wakeIntervalMilliseconds) {
        this.#wokenAt.delete(gateway);
      }
    }
  }

  #record(gateway: string, report: QuotaReport): void {
    const now = this.#options.clock.now();
    this.#lender.record(gateway, report, now);
    this.#recorder.tick(now);
    this.#logSettlement(now);
  }

  async #propose(
    change: BorrowerChange,
    done: (result: ProposalResult) => void,
  ): Promise<void> {
    const { replica, logger } = this.#options;
    const fields = {
      added: change.add.join(","),
      removed: change.remove.join(","),
      bounds: (change.bounds ?? []).map((row) => row.join(" ")).join(","),
    };
    try {
      await replica.propose({ kind: "changeBorrowers", ...change });
      const borrowers = replica.state.borrowers.size;
      logger.info("quota-borrowers-changed", { ...fields, borrowers });
      done(ProposalResult.committed);
    } catch (failure) {
      const isRejected = failure instanceof NotLeaderError &&
        !(failure instanceof UnknownOutcomeError);
      logger.warn("quota-borrowers-not-changed", {
        ...fields,
        reason: describeFailure(failure),
      });
      done(isRejected ? ProposalResult.rejected : ProposalResult.unknown);
    }
  }

  #extend(gateways: ReadonlySet<string>): void {
    for (const gateway of gateways) {
      this.#extended.add(gateway);
      this.#options.wake(gateway);
    }
  }

  // Until then, gateways may be lent less than they need.
  #logSettlement(now: number): void {
    if (this.#isSettlementLogged || !this.#lender.isSettled) return;
    this.#isSettlementLogged = true;
    const { logger, term, replica } = this.#options;
    logger.info("quotas-settled", {
      term,
      borrowers: replica.state.borrowers.size,
      milliseconds: Math.round(now - this.#startedAt),
    });
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
    // The answer may have called for a higher bound.
    this.#recorder.tick(now);
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
