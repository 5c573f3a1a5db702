import { randomBytes } from "node:crypto";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { AttemptMonitor } from "./attempt_monitor.ts";
import type { ContactRecord } from "./contact_record.ts";
import { delay } from "./fault_injector.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";
import { KeyHistory } from "./key_history.ts";
import { findSecrets } from "./key_search.ts";
import { findLastLeaderChange } from "./leader_changes.ts";
import type { CalledGateway } from "./load_generator.ts";
import { WorkspaceCallers } from "./workspace_callers.ts";
import { WorkspaceMonitors } from "./workspace_monitors.ts";
import { WorkspaceOperator } from "./workspace_operator.ts";

const revokeMilliseconds = 5000;
const quotaSettings = { windowSeconds: 5, overage: 0.1, slack: 20 } as const;
const rotating = { name: "soak-rotating", ratePerSecond: 0, burst: 0 };
const atLimit = { name: "soak-at-limit", ratePerSecond: 10, burst: 10 };
const below = { name: "soak-below-limit", ratePerSecond: 20, burst: 10 };
/** Requests per second of the callers. */
const loads = {
  rotating: 8,
  removed: 15,
  atLimit: 2 * atLimit.ratePerSecond,
  // The limits of the first site are 1.6 times the mean demand.
  below: 0.625 * below.ratePerSecond,
  wrong: 10,
} as const;
/**
 * A lease and a window after a change of leader, or after the exit of a gateway
 * that held loans, all of the total can be lent again. That is 9 s; gateways that
 * got nothing before ask again after a second at most.
 */
const loanSettleMilliseconds = 10_000;
/** A revocation that takes longer is not waited for. */
const revocationPatienceMilliseconds = 2500;
const boundMarginMilliseconds = 100;
/** Time in which the requests of a burst reach a paused gateway's sockets. */
const burstMilliseconds = 200;
const burstCount = 12;
const secretBytes = 24;
const markerBytes = 8;
const secretFileName = "fleet.secret";

/** Options of a {@link WorkspaceSoak}. */
export interface WorkspaceSoakOptions {
  /** IP:PORT of every control VM. */
  readonly control: readonly string[];
  readonly gateways: readonly CalledGateway[];
  readonly monitor: InvariantMonitor;
  readonly attempts: AttemptMonitor;
  /** Name of the only target that names a limit. */
  readonly limitedTarget: string;
  /** Folder for settings, data folders and logs. */
  readonly folder: string;
  readonly random: () => number;
  /** Random numbers of the operator. */
  readonly operatorRandom: () => number;
}

/** What the monitors of workspaces judged in a run. */
export interface WorkspaceCounts {
  /** Requests that were sent later than the bound after a revocation. */
  readonly revoked: number;
  /** Those that were sent to the gateway that was paused meanwhile. */
  readonly revokedWhilePaused: number;
  /** Requests with valid keys to gateways in contact. */
  readonly valid: number;
  /** Requests of the workspace below its limit, without faults. */
  readonly below: number;
  /** Most requests in a window, by workspace. */
  readonly highest: Readonly<Record<string, number>>;
}

/** The workspaces of a soak run: operator, callers and monitors. */
export class WorkspaceSoak {
  readonly monitors: WorkspaceMonitors;
  readonly #options: WorkspaceSoakOptions;
  readonly #history = new KeyHistory();
  readonly #operator: WorkspaceOperator;
  readonly #callers: WorkspaceCallers;
  /** Text that every key of the run contains. */
  readonly #keyMarker = `key-${randomBytes(markerBytes).toString("hex")}`;
  readonly #secret = randomBytes(secretBytes).toString("hex");
  readonly #pausedCounts = { before: 0, after: 0 };
  #keyCount = 0;

  constructor(options: WorkspaceSoakOptions) {
    this.#options = options;
    const { control, random, operatorRandom } = options;
    const history = this.#history;
    const createKey = () => `${this.#keyMarker}-${this.#keyCount++}`;
    this.monitors = new WorkspaceMonitors({
      history,
      keyMarker: this.#keyMarker,
      revokeMilliseconds,
      limits: [atLimit, below].map(({ name, ...limit }) => ({
        workspace: name,
        ...limit,
        ...quotaSettings,
      })),
      below: below.name,
    });
    this.#operator = new WorkspaceOperator({
      control,
      history,
      rotating,
      others: [atLimit, below],
      createKey,
      random: operatorRandom,
    });
    this.#callers = new WorkspaceCallers({
      ...options,
      history,
      monitors: this.monitors,
      createKey,
      random,
    });
  }

  /** Sections of the settings of each VM. */
  get sections(): string {
    const { windowSeconds, overage, slack } = quotaSettings;
    return `[workspaces]
revokeSeconds = ${revokeMilliseconds / 1000}
[quotas]
windowSeconds = ${windowSeconds}
overage = ${overage}
slack = ${slack}
[security]
vmSecretFile = ${this.#secretFile}
`;
  }

  get #secretFile(): string {
    return join(this.#options.folder, secretFileName);
  }

  /** Writes the fleet's secret, which the settings name. */
  async writeSecret(): Promise<void> {
    await writeFile(this.#secretFile, `${this.#secret}\n`);
  }

  /** Creates the workspaces, and waits until each gateway serves one. */
  async create(timeoutMilliseconds: number): Promise<void> {
    await this.#operator.createWorkspaces();
    await this.#callers.waitUntilServed(rotating.name, timeoutMilliseconds);
  }

  start(): void {
    this.#operator.start();
    this.#callers.startWorkspace(rotating.name, loads.rotating);
    this.#callers.startWorkspace(atLimit.name, loads.atLimit);
    this.#callers.startWorkspace(below.name, loads.below);
    this.#callers.startRemovedKeys(rotating.name, loads.removed);
    this.#callers.startWrongKeys(below.name, loads.wrong);
  }

  /** Opens connections to a gateway that is going to be paused for long. */
  async prepareLongPause(gateway: string): Promise<void> {
    const [key] = this.#history.keysOf(rotating.name);
    await this.#callers.sendBurst(gateway, key!, burstCount);
  }

  /**
   * Revokes a key while a gateway is paused, and sends requests with it to that
   * gateway after the bound; resolves when the gateway may be resumed.
   */
  async revokeWhilePaused(gateway: string): Promise<void> {
    const key = await Promise.race([
      this.#operator.replaceKey(),
      delay(revocationPatienceMilliseconds).then(() => undefined),
    ]);
    if (key === undefined) return;
    const inForceAt = this.#history.revokedAt(key) + revokeMilliseconds;
    await delay(inForceAt + boundMarginMilliseconds - performance.now());
    const { judgedCounts } = this.monitors.revocations;
    this.#pausedCounts.before = judgedCounts.get(gateway) ?? 0;
    void this.#callers.sendBurst(gateway, key, burstCount);
    await delay(burstMilliseconds);
    this.#pausedCounts.after = judgedCounts.get(gateway) ?? 0;
  }

  /** Ends the changes of keys. */
  stopChanges(): Promise<void> {
    return this.#operator.stop();
  }

  /** Ends the changes and the callers. */
  async stop(): Promise<void> {
    await this.stopChanges();
    await this.#callers.stop();
  }

  /**
   * Returns what is wrong, at the end of a run.
   *
   * @param options.settledAt Time after the faults in which all VMs are in touch.
   * @param options.gatewayExitAt Time of the last exit of a gateway.
   * @param options.faultFreeFrom Start of the period without faults.
   */
  async findViolations(options: {
    readonly contacts: ContactRecord;
    readonly settledAt: number;
    readonly gatewayExitAt: number;
    readonly faultFreeFrom: number;
    readonly controlLogs: readonly string[];
  }): Promise<readonly string[]> {
    const { contacts, settledAt, gatewayExitAt, faultFreeFrom } = options;
    const changedAt = Math.max(
      gatewayExitAt,
      await findLastLeaderChange(options.controlLogs),
    );
    return this.monitors.findViolations(contacts, {
      settledAt: Math.max(settledAt, changedAt + loanSettleMilliseconds),
      faultFreeFrom,
      to: performance.now(),
    });
  }

  /** Searches all files of the processes, which have ended, for secrets. */
  findSecrets(): Promise<readonly string[]> {
    return findSecrets({
      folder: this.#options.folder,
      secrets: new Map([
        ["a key", this.#keyMarker],
        ["the secret of the fleet", this.#secret],
      ]),
      exempt: new Set([this.#secretFile]),
    });
  }

  /** After {@link findViolations}. */
  get counts(): WorkspaceCounts {
    const { revocations, rejectedKeys, served, limits } = this.monitors;
    return {
      revoked: revocations.judgedCount,
      revokedWhilePaused: this.#pausedCounts.after - this.#pausedCounts.before,
      valid: rejectedKeys.judgedCount,
      below: served.judgedCount,
      highest: Object.fromEntries(
        [...limits].map(([name, { highestCount }]) => [name, highestCount]),
      ),
    };
  }
}
