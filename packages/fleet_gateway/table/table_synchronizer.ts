import { setTimeout as pause } from "node:timers/promises";
import type { ViewPosition } from "@kingcupglade/fleet";
import {
  decodeWatchAnswer,
  decodeWatchOwnPart,
  encodeWatch,
  isCompactAnswer,
  updateIntervalMilliseconds,
  watchHoldMilliseconds,
} from "@kingcupglade/fleet_control";
import type { WatchAnswer, WatchOwnPart } from "@kingcupglade/fleet_control";
import { describeItems } from "@kingcupglade/items";
import { Fleet } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import { createWatch } from "./create_watch.ts";
import { requestUntilBegun } from "./first_update.ts";
import type { UpdateRequest } from "./first_update.ts";
import { GatewayTable } from "./gateway_table.ts";
import { searchLeader } from "./leader_search.ts";
import { LeaderSearchBackoff } from "./leader_search_backoff.ts";
import { TableCheck } from "./table_check.ts";
import type { TableSynchronizerOptions } from "./table_synchronizer_options.ts";

export type {
  ReceivedOwnPart,
  TableSynchronizerOptions,
} from "./table_synchronizer_options.ts";

/** Added to the time for which a leader holds a watch without an update. */
const watchMarginMilliseconds = 400;
/** Sufficient for a table of several thousand items on a 2 Mbit/s link. */
const wholeTableTimeoutMilliseconds = 5000;
/** A running VM responds to a search at once, also from another region. */
const leaderSearchTimeoutMilliseconds = 500;
/**
 * While the first update of a leader is awaited, the other control VMs are asked
 * for another leader at this interval.
 */
const successorSearchIntervalMilliseconds = 200;

/** A watch request that was sent. */
interface SentWatch {
  readonly address: string;
  readonly sentAt: number;
  /** The same on the elapsed clock. */
  readonly elapsedSentAt: number;
}

interface WatchResponse {
  readonly answer: Uint8Array;
  readonly own: Uint8Array;
  readonly sent: SentWatch;
}

/** Keeps a gateway's table up to date with the control leader's. */
export class TableSynchronizer {
  readonly table = new GatewayTable();
  readonly #options: TableSynchronizerOptions;
  #seeds: readonly string[];
  #lastContactAt = -Infinity;
  #leader: string | null = null;
  /** Term of the current leader, once it has sent an update. */
  #term: number | null = null;
  readonly #searchBackoff: LeaderSearchBackoff;
  /** Whether the leader reads compact watch requests. */
  #usesCompactForm = false;
  #isStopped = false;
  #isLeaving = false;
  #isConnected = false;
  readonly #check: TableCheck;

  constructor(options: TableSynchronizerOptions) {
    this.#options = options;
    this.#check = new TableCheck({ ...options, table: this.table });
    this.#seeds = options.seeds;
    this.#searchBackoff = new LeaderSearchBackoff(options);
  }

  /** Starts watching the control leader, until {@link stop} is called. */
  start(): void {
    void this.#run();
  }

  /** Peer address of the leader; null while it is unknown. */
  get leader(): string | null {
    return this.#leader;
  }

  get #elapsedClock(): Clock {
    return this.#options.elapsedClock ?? this.#options.clock;
  }

  /** Returns the milliseconds since the last contact with the leader. */
  millisecondsSinceContact(now: number): number {
    return now - this.#lastContactAt;
  }

  /** Milliseconds since the last contact with the leader. */
  get contactAge(): number {
    return this.millisecondsSinceContact(this.#options.clock.now());
  }

  /** Time since the last contact, for the log; null before the first. */
  get #contactAge(): number | null {
    const age = this.contactAge;
    return Number.isFinite(age) ? Math.round(age) : null;
  }

  /** Replaces the peer addresses that are queried for the leader. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Marks this VM as stopping in all further watch requests. */
  leave(): void {
    this.#isLeaving = true;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const hasLeader = this.#leader === null
        ? await this.#searchLeader()
        : await this.#watchLeader(this.#leader);
      // One that was replaced may go on to say that it leads.
      const mayReset = !this.#check.isLastOutdated;
      if (hasLeader && mayReset) this.#searchBackoff.reset();
      else if (!hasLeader && !this.#isStopped) {
        await pause(this.#searchBackoff.next());
      }
    }
  }

  /** Watches the leader for an update; returns whether there is a leader. */
  async #watchLeader(address: string): Promise<boolean> {
    try {
      return await this.#awaitUpdate(address);
    } catch (failure) {
      this.#loseLeader(describeFailure(failure), address);
      return false;
    }
  }

  // A first update may take long to arrive, and a leader that was lost in the
  // meantime would hold this gateway at an old table for as long.
  async #awaitUpdate(address: string): Promise<boolean> {
    if (!this.#mayReceiveWholeTable) {
      return this.#receive(await this.#requestUpdate(address));
    }
    const ending = new AbortController();
    const update = requestUntilBegun({
      request: (request) => this.#requestUpdate(address, request),
      renewConnections: () => this.#options.clients.renew(address),
      waitMilliseconds:
        updateIntervalMilliseconds(this.table.gatewayCount || Infinity) +
        watchMarginMilliseconds,
      limitMilliseconds: wholeTableTimeoutMilliseconds,
      signal: ending.signal,
    });
    const successor = this.#awaitSuccessor(
      address,
      () => ending.signal.aborted,
    );
    try {
      const received = await Promise.race([
        update,
        successor.then((isFound) => isFound ? null : update),
      ]);
      return received === null || this.#receive(received);
    } finally {
      ending.abort();
      // The requests to a leader that was left end with this.
      update.catch(() => {});
    }
  }

  #requestUpdate(
    address: string,
    request: Partial<UpdateRequest> = {},
  ): Promise<WatchResponse> {
    return this.#sendWatch(address, {
      ...request,
      isSearch: false,
      timeoutMilliseconds: this.#timeoutMilliseconds,
    });
  }

  /** Applies an update; returns true. */
  #receive({ answer, own, sent }: WatchResponse): true {
    const decoded = decodeWatchAnswer(answer);
    if (decoded.kind !== "news") {
      throw new Error("another VM is the leader");
    }
    // A leader that writes the compact form reads it too.
    this.#usesCompactForm ||= isCompactAnswer(answer);
    this.#apply(decoded, { ...sent, part: decodeWatchOwnPart(own) });
    return true;
  }

  /**
   * Waits until a control VM other than the one at `address` leads, or
   * `hasEnded` returns true; returns whether there is one.
   */
  async #awaitSuccessor(
    address: string,
    hasEnded: () => boolean,
  ): Promise<boolean> {
    const others = this.#controlAddresses;
    others.delete(address);
    await pause(successorSearchIntervalMilliseconds);
    const successor = await searchLeader(others, {
      ask: (other) => this.#askForLeader(other),
      excluded: [address],
      delays: () => ({ next: () => successorSearchIntervalMilliseconds }),
      hasEnded,
    });
    if (successor === null || hasEnded()) return false;
    this.#loseLeader("another VM is the leader", address);
    this.#leader = successor;
    return true;
  }

  // A whole table is large, and all gateways may request it at the same time.
  get #mayReceiveWholeTable(): boolean {
    const { index, term } = this.#position;
    return index === 0 || term !== this.#term;
  }

  /** The position from which an update is requested. */
  get #position(): ViewPosition {
    return this.#check.position;
  }

  get #timeoutMilliseconds(): number {
    return this.#mayReceiveWholeTable
      ? wholeTableTimeoutMilliseconds
      : watchHoldMilliseconds(this.table.gatewayCount || Infinity) +
        watchMarginMilliseconds;
  }

  async #searchLeader(): Promise<boolean> {
    const seeds = this.#seeds;
    const leader = await searchLeader(this.#controlAddresses, {
      ask: (address) => this.#askForLeader(address),
      delays: () => new LeaderSearchBackoff(this.#options),
      hasEnded: () =>
        this.#isStopped || this.#leader !== null || this.#seeds !== seeds,
    });
    this.#leader ??= leader;
    return this.#leader !== null;
  }

  /** Peer addresses of the control VMs that this gateway knows. */
  get #controlAddresses(): Set<string> {
    return new Set([...this.table.control, ...this.#seeds]);
  }

  async #askForLeader(address: string): Promise<WatchAnswer> {
    const { answer } = await this.#sendWatch(address, {
      isSearch: true,
      timeoutMilliseconds: leaderSearchTimeoutMilliseconds,
    });
    return decodeWatchAnswer(answer);
  }

  async #sendWatch(
    address: string,
    options: Partial<UpdateRequest> & {
      readonly isSearch: boolean;
      readonly timeoutMilliseconds: number;
    },
  ): Promise<WatchResponse> {
    const { clients, clock } = this.#options;
    const { isSearch, timeoutMilliseconds, signal, onHeader } = options;
    const watch = createWatch(this.#options, {
      position: this.#position,
      isLeaving: this.#isLeaving,
      isSearch,
      reportsAll: this.#term === null || options.isRepeated === true,
    });
    const sentAt = clock.now();
    const elapsedSentAt = this.#elapsedClock.now();
    const { answer, own } = await clients.client(address, Fleet).watch(
      {
        watch: encodeWatch(watch, {
          isCompact: !isSearch && this.#usesCompactForm,
        }),
      },
      {
        timeoutMs: timeoutMilliseconds,
        ...(signal && { signal }),
        ...(onHeader && { onHeader }),
      },
    );
    return { answer, own, sent: { address, sentAt, elapsedSentAt } };
  }

  #apply(
    update: Extract<WatchAnswer, { readonly kind: "news" }>,
    watch: SentWatch & { readonly part: WatchOwnPart },
  ): void {
    // A search may have found another leader in the meantime.
    if (watch.sentAt < this.#lastContactAt) return;
    if (this.#check.isOutdated(update.delta, watch.address)) {
      throw new Error("the update is older than the table");
    }
    const contactAgeMilliseconds = this.#contactAge;
    this.#leader = watch.address;
    this.#term = update.delta.position.term;
    this.#lastContactAt = watch.sentAt;
    if (!this.#isConnected) {
      this.#options.logger.info("control-found", {
        control: watch.address,
        contactAgeMilliseconds,
      });
    }
    this.#isConnected = true;
    const before = this.table.position.index;
    this.table.apply(update.delta, this.#options.clock.now());
    this.#check.compare(update.delta, watch.address);
    if (this.table.position.index !== before) {
      this.#options.logger.info("table-changed", {
        index: this.table.position.index,
        term: this.table.position.term,
        contactAgeMilliseconds,
      });
    }
    const { suspects, position, items } = update.delta;
    if (items.length > 0) {
      this.#options.logger.info("items-applied", {
        names: describeItems(items),
        index: position.index,
        since: before,
        held: this.table.itemCount,
        contactAgeMilliseconds,
      });
    }
    if (suspects) this.#options.onSuspects(suspects, position.term);
    this.#options.onOwnPart?.({
      part: watch.part,
      sentAt: watch.elapsedSentAt,
      isTableCurrent: update.delta.itemsDigest === this.table.itemsDigest ||
        update.delta.itemsDigest === null,
    });
    this.#options.onChange();
  }

  #loseLeader(reason: string, address: string): void {
    const { logger } = this.#options;
    const contactAgeMilliseconds = this.#contactAge;
    const fields = { control: address, reason, contactAgeMilliseconds };
    if (this.#isConnected) logger.warn("control-lost", fields);
    else logger.warn("first-update-failed", fields);
    this.#isConnected = false;
    this.#leader = null;
    // The next leader may send a whole table, or be of an earlier release.
    this.#term = null;
    this.#usesCompactForm = false;
  }
}
