import { setTimeout as pause } from "node:timers/promises";
import type { DemandRow, DurationRow } from "@kingcupglade/fleet";
import type {
  PeerCalls,
  Watch,
  WatchAnswer,
} from "@kingcupglade/fleet_control";
import { decodeValue, encodeValue, Fleet } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import { GatewayTable } from "./gateway_table.ts";

/** More than the time that control holds a question without news. */
const watchTimeoutMilliseconds = 1500;
/** Pause before another control VM is asked; none hears more than 20 a second. */
const retryMilliseconds = 50;

/** Options of a {@link TableKeeper}. */
export interface TableKeeperOptions {
  readonly gateway: Omit<Watch, "position" | "demand" | "durations">;
  /** Takes the keyed requests that were counted since the last call. */
  readonly takeDemand: () => readonly DemandRow[];
  readonly durations: () => readonly DurationRow[];
  /** Peer addresses at which control is looked for first. */
  readonly seeds: readonly string[];
  readonly calls: PeerCalls;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each piece of news. */
  readonly onChange: () => void;
}

/** Keeps a gateway's table as new as the control leader's. */
export class TableKeeper {
  readonly table = new GatewayTable();
  readonly #options: TableKeeperOptions;
  #seeds: readonly string[];
  #heardAt = -Infinity;
  #leader: string | null = null;
  #turn = 0;
  #isStopped = false;
  #isConnected = false;

  constructor(options: TableKeeperOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
  }

  /** Begins to ask control, until it is stopped. */
  start(): void {
    void this.#run();
  }

  /** Milliseconds since the leader was last heard. */
  age(now: number): number {
    return now - this.#heardAt;
  }

  /** Takes over other peer addresses at which control is looked for. */
  useSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const address = this.#nextAddress();
      const isHeard = await this.#ask(address);
      if (!isHeard && !this.#isStopped) await pause(retryMilliseconds);
    }
  }

  #nextAddress(): string {
    if (this.#leader !== null) return this.#leader;
    const known = [...new Set([...this.table.control, ...this.#seeds])];
    return known[this.#turn++ % known.length]!;
  }

  /** Asks one control VM; whether it led and answered. */
  async #ask(address: string): Promise<boolean> {
    const { calls, clock, gateway, takeDemand, durations } = this.#options;
    const watch: Watch = {
      ...gateway,
      position: this.table.position,
      demand: takeDemand(),
      durations: durations(),
    };
    const askedAt = clock.now();
    try {
      const { answer } = await calls.client(address, Fleet).watch(
        { watch: encodeValue(watch) },
        { timeoutMs: watchTimeoutMilliseconds },
      );
      return this.#take(decodeValue<WatchAnswer>(answer), { address, askedAt });
    } catch (failure) {
      this.#lose(describeFailure(failure), address);
      return false;
    }
  }

  #take(
    answer: WatchAnswer,
    asked: { readonly address: string; readonly askedAt: number },
  ): boolean {
    if (answer.kind === "elsewhere") {
      this.#lose("another VM leads", asked.address);
      this.#leader = answer.leader;
      return false;
    }
    this.#leader = asked.address;
    this.#heardAt = asked.askedAt;
    if (!this.#isConnected) {
      this.#options.logger.info("control-found", { control: asked.address });
    }
    this.#isConnected = true;
    const before = this.table.position.index;
    this.table.apply(answer.delta);
    if (this.table.position.index !== before) {
      this.#options.logger.info("table-changed", {
        index: this.table.position.index,
        term: this.table.position.term,
      });
    }
    this.#options.onChange();
    return true;
  }

  #lose(reason: string, address: string): void {
    if (this.#isConnected) {
      this.#options.logger.warn("control-lost", { control: address, reason });
    }
    this.#isConnected = false;
    this.#leader = null;
  }
}
