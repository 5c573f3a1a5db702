import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { TargetView } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import { splitAddress } from "@kingcupglade/transport";
import type { TargetConnections } from "./target_connections.ts";
import type { TargetReach } from "./target_reach.ts";

/** A running VM accepts or refuses a connection within this time. */
const connectTimeoutMilliseconds = 300;
/** Connections that end within this time of each other have a common cause. */
const commonCauseMilliseconds = 250;
/**
 * If this many targets end connections at the same time, this VM was cut off,
 * or a rack or data centre was lost: no request is the cause.
 */
const minimumCommonLosses = 3;
/** Connections of a process that ended are closed within this time. */
const closeMilliseconds = 60;
const closePollMilliseconds = 5;
/** Ended incarnations that are remembered. */
const maximumRemembered = 1000;

/** What is known of a target that closed a connection without a response. */
export const TargetEnd = {
  /** Its process ended, while other targets go on. */
  ended: "ended",
  /** It is alive, or nothing tells that it is not. */
  unknown: "unknown",
} as const;
export type TargetEnd = typeof TargetEnd[keyof typeof TargetEnd];

/** Response to an attempt to connect. */
const Connection = {
  accepted: "accepted",
  refused: "refused",
  silent: "silent",
} as const;
type Connection = typeof Connection[keyof typeof Connection];

/** Options of a {@link TargetEndDetector}. */
export interface TargetEndDetectorOptions {
  readonly connections: Pick<
    TargetConnections,
    "openCount" | "addressesLostSince"
  >;
  readonly reach: Pick<TargetReach, "confirmCutOff">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Tells whether a target's process ended when it closed a connection. A target
 * that only loses a response, is full or leaves still accepts connections, or
 * keeps others open.
 */
export class TargetEndDetector {
  readonly #options: TargetEndDetectorOptions;
  /** Results by incarnation, also those that are not known yet. */
  readonly #results = new Map<string, Promise<TargetEnd>>();

  constructor(options: TargetEndDetectorOptions) {
    this.#options = options;
  }

  /** Examines a target that has just closed a connection. */
  examine(target: TargetView): Promise<TargetEnd> {
    const id = incarnationId(target);
    const known = this.#results.get(id);
    if (known) return known;
    const result = this.#examine(target);
    this.#results.set(id, result);
    const [oldest] = this.#results.keys();
    if (this.#results.size > maximumRemembered) this.#results.delete(oldest!);
    result.then((end) => {
      // A target that is alive may end later.
      if (end !== TargetEnd.ended) this.#results.delete(id);
    }, () => this.#results.delete(id));
    return result;
  }

  async #examine(target: TargetView): Promise<TargetEnd> {
    const { connections, clock, logger, metrics } = this.#options;
    const startedAt = clock.now();
    const connection = await tryConnect(target.address);
    const open = connection === Connection.refused
      ? await this.#waitUntilClosed(target.address)
      : connections.openCount(target.address);
    const lostTargets = connections.addressesLostSince(
      startedAt - commonCauseMilliseconds,
    );
    const seemsEnded = connection === Connection.refused && open === 0 &&
      lostTargets < minimumCommonLosses;
    // If no target accepts a connection, this one need not have ended.
    const hasEnded = seemsEnded && !await this.#options.reach.confirmCutOff();
    const result = hasEnded ? TargetEnd.ended : TargetEnd.unknown;
    metrics.targetEnds.inc({ result });
    logger.info("target-examined", {
      target: target.name,
      bornAt: target.bornAt,
      result,
      connection,
      openConnections: open,
      lostTargets,
      durationMilliseconds: Math.round(clock.now() - startedAt),
    });
    return result;
  }

  // The ends of the other connections may not have been read yet.
  async #waitUntilClosed(address: string): Promise<number> {
    const { connections, clock } = this.#options;
    const until = clock.now() + closeMilliseconds;
    for (;;) {
      const open = connections.openCount(address);
      if (open === 0 || clock.now() >= until) return open;
      await pause(closePollMilliseconds);
    }
  }
}

/** Returns the ID of a target's incarnation. */
export function incarnationId(
  { name, bornAt }: Pick<TargetView, "name" | "bornAt">,
): string {
  return `${name}/${bornAt}`;
}

function tryConnect(address: string): Promise<Connection> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (result: Connection) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(
      () => finish(Connection.silent),
      connectTimeoutMilliseconds,
    );
    socket.once("connect", () => finish(Connection.accepted));
    socket.on("error", ({ code }: NodeJS.ErrnoException) =>
      finish(
        code === "ECONNREFUSED" ? Connection.refused : Connection.silent,
      ));
  });
}
