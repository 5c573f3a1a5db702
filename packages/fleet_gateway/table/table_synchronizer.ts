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
import { Fleet } from "@kingcupglade/protocol";
import { describeFailure } from "@kingcupglade/telemetry";
import { createWatch } from "./create_watch.ts";
import { CurrentPath } from "./current_path.ts";
import { requestUntilBegun } from "./first_update.ts";
import type { UpdateRequest } from "./first_update.ts";
import { GatewayTable } from "./gateway_table.ts";
import { directPath, firstVm } from "./leader_path.ts";
import type { LeaderPath } from "./leader_path.ts";
import { searchLeader } from "./leader_search.ts";
import { LeaderSearchBackoff } from "./leader_search_backoff.ts";
import { RequestPaths } from "./request_paths.ts";
import { searchSuccessor } from "./successor_search.ts";
import { TableCheck } from "./table_check.ts";
import type { TableSynchronizerOptions } from "./table_synchronizer_options.ts";
import { logUpdate } from "./update_log.ts";

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
 * Time that a leader has to respond by itself before it is asked through another
 * control VM; one in another region responds well within it.
 */
const detourDelayMilliseconds = 300;

/** A watch request that was sent. */
interface SentWatch {
  readonly path: LeaderPath;
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
  readonly #path: CurrentPath;
  /** Term of the current leader, once it has sent an update. */
  #term: number | null = null;
  readonly #searchBackoff: LeaderSearchBackoff;
  /** Whether the leader reads compact watch requests. */
  #usesCompactForm = false;
  #isStopped = false;
  #isLeaving = false;
  #isConnected = false;
  readonly #check: TableCheck;
  /**
   * Whether the last update is of another term than the one before, so that its
   * leader may lack earlier reports.
   */
  #hasNewTerm = false;

  constructor(options: TableSynchronizerOptions) {
    this.#options = options;
    this.#check = new TableCheck({ ...options, table: this.table });
    this.#seeds = options.seeds;
    this.#searchBackoff = new LeaderSearchBackoff(options);
    this.#path = new CurrentPath({
      ...options,
      ask: (address) => this.#askForLeader(directPath(address)),
      contactAge: () => this.#contactAge,
    });
  }

  /** Starts watching the control leader, until {@link stop} is called. */
  start(): void {
    void this.#run();
  }

  /** Path to the leader; null while it is unknown. */
  get path(): LeaderPath | null {
    return this.#path.value;
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
    this.#path.end();
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const { path } = this;
      const hasLeader = path === null
        ? await this.#searchLeader()
        : await this.#watchLeader(path);
      // One that was replaced may go on to say that it leads.
      const mayReset = !this.#check.isLastOutdated;
      if (hasLeader && mayReset) this.#searchBackoff.reset();
      else if (!hasLeader && !this.#isStopped) {
        await pause(this.#searchBackoff.next());
      }
    }
  }

  /** Watches the leader for an update; returns whether there is a leader. */
  async #watchLeader(path: LeaderPath): Promise<boolean> {
    try {
      return await this.#awaitUpdate(path);
    } catch (failure) {
      // The leader may have responded on a better path in the meantime.
      if (this.path !== null && this.path !== path) return true;
      this.#loseLeader(describeFailure(failure), path);
      return false;
    }
  }

  // A first update may take long to arrive, and a leader that was lost in the
  // meantime would hold this gateway at an old table for as long.
  async #awaitUpdate(path: LeaderPath): Promise<boolean> {
    if (!this.#mayReceiveWholeTable) {
      return this.#receive(await this.#requestUpdate(path));
    }
    const ending = new AbortController();
    const paths = new RequestPaths<WatchResponse>({
      path,
      send: (each, request) => this.#requestUpdate(each, request),
      isUpdate: ({ answer }) => decodeWatchAnswer(answer).kind === "news",
    });
    const update = requestUntilBegun({
      request: (request) => paths.request(request),
      renewConnections: () => {
        for (const each of paths.asked) this.#options.clients.renew(each);
      },
      waitMilliseconds:
        updateIntervalMilliseconds(this.table.gatewayCount || Infinity) +
        watchMarginMilliseconds,
      limitMilliseconds: wholeTableTimeoutMilliseconds,
      signal: ending.signal,
    });
    const successor = this.#awaitSuccessor(path, {
      paths,
      hasEnded: () => ending.signal.aborted,
    });
    try {
      const received = await Promise.race([
        update,
        successor.then((isFound) => isFound ? null : update),
      ]);
      if (received === null) return true;
      if (this.path === path) this.#path.use(received.sent.path);
      return this.#receive(received);
    } finally {
      ending.abort();
      // The requests to a leader that was left end with this.
      update.catch(() => {});
    }
  }

  #requestUpdate(
    path: LeaderPath,
    request: Partial<UpdateRequest> = {},
  ): Promise<WatchResponse> {
    return this.#sendWatch(path, {
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
   * Waits until a control VM other than the leader of a path leads, or `hasEnded`
   * returns true; returns whether there is one.
   */
  async #awaitSuccessor(
    path: LeaderPath,
    { paths, hasEnded }: {
      readonly paths: Pick<RequestPaths<unknown>, "recordNamed">;
      readonly hasEnded: () => boolean;
    },
  ): Promise<boolean> {
    const successor = await searchSuccessor(path.leader, {
      control: this.#controlAddresses,
      ask: (each) => this.#askForLeader(each),
      onNamed: (address) => paths.recordNamed(address),
      hasEnded,
    });
    if (successor === null || hasEnded()) return false;
    this.#loseLeader("another VM is the leader", path);
    this.#path.use(successor);
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
    const path = await searchLeader(this.#controlAddresses, {
      ask: (each) => this.#askForLeader(each),
      delays: () => new LeaderSearchBackoff(this.#options),
      detourDelayMilliseconds: (leader) =>
        this.#path.isLost(leader) ? 0 : detourDelayMilliseconds,
      hasEnded: () =>
        this.#isStopped || this.path !== null || this.#seeds !== seeds,
    });
    if (path && this.path === null) this.#path.use(path);
    return this.path !== null;
  }

  /** Peer addresses of the control VMs that this gateway knows. */
  get #controlAddresses(): Set<string> {
    return new Set([...this.table.control, ...this.#seeds]);
  }

  async #askForLeader(path: LeaderPath): Promise<WatchAnswer> {
    const { answer } = await this.#sendWatch(path, {
      isSearch: true,
      timeoutMilliseconds: leaderSearchTimeoutMilliseconds,
    });
    return decodeWatchAnswer(answer);
  }

  async #sendWatch(
    path: LeaderPath,
    options: Partial<UpdateRequest> & {
      readonly isSearch: boolean;
      readonly timeoutMilliseconds: number;
    },
  ): Promise<WatchResponse> {
    const { clients, clock, elapsedClock = clock } = this.#options;
    const { isSearch, timeoutMilliseconds, signal, onHeader } = options;
    const watch = createWatch(this.#options, {
      position: this.#position,
      isLeaving: this.#isLeaving,
      isSearch,
      reportsAll: this.#term === null || this.#hasNewTerm ||
        options.isRepeated === true,
    });
    const sentAt = clock.now();
    const elapsedSentAt = elapsedClock.now();
    const { answer, own } = await clients.client(firstVm(path), Fleet).watch(
      {
        forward: path.through !== null,
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
    return { answer, own, sent: { path, sentAt, elapsedSentAt } };
  }

  #apply(
    update: Extract<WatchAnswer, { readonly kind: "news" }>,
    watch: SentWatch & { readonly part: WatchOwnPart },
  ): void {
    // A search may have found another leader in the meantime.
    if (watch.sentAt < this.#lastContactAt) return;
    if (this.#check.isOutdated(update.delta, watch.path.leader)) {
      throw new Error("the update is older than the table");
    }
    const contactAgeMilliseconds = this.#contactAge;
    const { term } = update.delta.position;
    this.#hasNewTerm = this.#term !== null && this.#term !== term;
    this.#term = term;
    this.#path.recordContact();
    this.#lastContactAt = watch.sentAt;
    if (!this.#isConnected) {
      this.#options.logger.info("control-found", {
        control: watch.path.leader,
        through: watch.path.through,
        contactAgeMilliseconds,
      });
    }
    this.#isConnected = true;
    const before = this.table.position.index;
    this.table.apply(update.delta, this.#options.clock.now());
    this.#check.compare(update.delta, watch.path.leader);
    logUpdate(update.delta, {
      table: this.table,
      before,
      contactAgeMilliseconds,
      logger: this.#options.logger,
    });
    const { suspects } = update.delta;
    if (suspects) this.#options.onSuspects(suspects, term);
    this.#options.onOwnPart?.({
      part: watch.part,
      sentAt: watch.elapsedSentAt,
      isTableCurrent: update.delta.itemsDigest === this.table.itemsDigest ||
        update.delta.itemsDigest === null,
    });
    this.#options.onChange();
  }

  #loseLeader(reason: string, path: LeaderPath): void {
    const { logger } = this.#options;
    const contactAgeMilliseconds = this.#contactAge;
    const fields = {
      control: path.leader,
      through: path.through,
      reason,
      contactAgeMilliseconds,
    };
    if (this.#isConnected) logger.warn("control-lost", fields);
    else logger.warn("first-update-failed", fields);
    this.#isConnected = false;
    this.#path.lose(path);
    // The next leader may send a whole table, or be of an earlier release.
    this.#term = null;
    this.#usesCompactForm = false;
  }
}
