import { Agent } from "node:http";
import { claimTrailer, credentialHeaders } from "@kingcupglade/platform";
import { AttemptEnd } from "./attempt_monitor.ts";
import type { AttemptMonitor } from "./attempt_monitor.ts";
import { sendAttempt } from "./attempt_sender.ts";
import type { RequestKind } from "./attempt_sender.ts";
import { delay } from "./fault_injector.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";
import type { KeyHistory } from "./key_history.ts";
import type { KeyedRequest } from "./keyed_request.ts";
import type { CalledGateway } from "./load_generator.ts";
import type { WorkspaceMonitors } from "./workspace_monitors.ts";

const millisecondsPerSecond = 1000;
const positionCount = 65_536;
const maximumLagMilliseconds = 300;
/** Targets send short bodies to requests whose numbers differ by this. */
const idStep = 84;
/** Share of the requests whose caller claims another workspace. */
const claimingShare = 0.3;
/** Share of these that claim it in a trailer. */
const trailerShare = 0.3;
/** Latest of the removed keys that callers go on to use. */
const usedRemovedKeys = 12;

const keyedKinds: readonly RequestKind[] = [
  { path: "/guarded-lookup/1", method: "GET", isIdempotent: true },
  { path: "/guarded-reserve/1", method: "POST", isIdempotent: false },
  { path: "/guarded-stock/1", method: "GET", isIdempotent: true },
];
const publicKind: RequestKind = {
  path: "/lookup/1",
  method: "GET",
  isIdempotent: true,
};

/** What a caller presents. */
interface Credentials {
  /** Keys, one for each header. */
  readonly keys: readonly string[];
  /** @default Bearer */
  readonly scheme?: string;
  /** @default false */
  readonly isPublic?: boolean;
}

/** Options of {@link WorkspaceCallers}. */
export interface WorkspaceCallersOptions {
  readonly gateways: readonly CalledGateway[];
  readonly history: KeyHistory;
  readonly monitor: InvariantMonitor;
  readonly attempts: AttemptMonitor;
  readonly monitors: WorkspaceMonitors;
  /** Name of the only target that names a limit. */
  readonly limitedTarget: string;
  /** Returns a key that was not used before. */
  readonly createKey: () => string;
  readonly random: () => number;
}

/** Callers that present keys of workspaces, removed, wrong, or none. */
export class WorkspaceCallers {
  readonly #options: WorkspaceCallersOptions;
  readonly #agent = new Agent({ keepAlive: true });
  /** Connections to a gateway that is paused. */
  readonly #burstAgent = new Agent({ keepAlive: true });
  readonly #pending = new Set<Promise<unknown>>();
  #isStopped = false;
  #nextId = 1;

  constructor(options: WorkspaceCallersOptions) {
    this.#options = options;
  }

  /** Waits until each gateway serves a workspace, or throws. */
  async waitUntilServed(
    workspace: string,
    timeoutMilliseconds: number,
  ): Promise<void> {
    const until = performance.now() + timeoutMilliseconds;
    const credentials = { keys: [this.#options.history.keysOf(workspace)[0]!] };
    for (const gateway of this.#options.gateways) {
      while (await this.#send(gateway, credentials) !== 200) {
        if (performance.now() > until) {
          throw new Error(`${gateway.name} did not serve ${workspace} in time`);
        }
        await delay(50);
      }
    }
  }

  /** Sends requests of a workspace at a steady rate. */
  startWorkspace(workspace: string, perSecond: number): void {
    const { history } = this.#options;
    this.#start(perSecond, () => ({
      keys: [this.#select(history.keysOf(workspace))],
    }));
  }

  /** Sends requests with keys that a workspace had before. */
  startRemovedKeys(workspace: string, perSecond: number): void {
    const { history } = this.#options;
    this.#start(perSecond, () => {
      const removed = history.removedKeysOf(workspace).slice(-usedRemovedKeys);
      return removed.length === 0 ? undefined : {
        keys: [this.#select(removed)],
      };
    });
  }

  /** Sends requests without a key in a form that counts, and with wrong keys. */
  startWrongKeys(workspace: string, perSecond: number): void {
    const { history, createKey, random } = this.#options;
    this.#start(perSecond, () => {
      const valid = this.#select(history.keysOf(workspace));
      return this.#select<Credentials>([
        { keys: [] },
        { keys: [createKey()] },
        { keys: [`${valid}x`] },
        { keys: [valid], scheme: "Basic" },
        { keys: [valid, valid] },
        { keys: random() < 0.5 ? [valid] : [createKey()], isPublic: true },
      ]);
    });
  }

  /**
   * Sends several requests with a key to a gateway at once. Those of a later call
   * use the same connections: a gateway that resumes reads them before it accepts
   * new ones.
   */
  async sendBurst(
    gatewayName: string,
    key: string,
    count: number,
  ): Promise<void> {
    const gateway = this.#options.gateways.find(({ name }) =>
      name === gatewayName
    )!;
    await Promise.all(
      Array.from(
        { length: count },
        () => this.#send(gateway, { keys: [key] }, this.#burstAgent),
      ),
    );
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    while (this.#pending.size > 0) await Promise.all(this.#pending);
    this.#agent.destroy();
    this.#burstAgent.destroy();
  }

  #start(perSecond: number, choose: () => Credentials | undefined): void {
    this.#track(this.#runLoad(perSecond, choose));
  }

  #track(work: Promise<unknown>): void {
    this.#pending.add(work);
    void work.then(() => this.#pending.delete(work));
  }

  // Sends on whether or not requests are answered, as many callers do.
  async #runLoad(
    perSecond: number,
    choose: () => Credentials | undefined,
  ): Promise<void> {
    const interval = millisecondsPerSecond / perSecond;
    let dueAt = performance.now();
    while (!this.#isStopped) {
      const credentials = choose();
      const gateway = this.#select(this.#options.gateways);
      if (credentials) this.#track(this.#send(gateway, credentials));
      // What was missed is sent late, so that the rate is kept, but not in a burst
      // after this process stood still.
      dueAt = Math.max(
        dueAt + interval,
        performance.now() - maximumLagMilliseconds,
      );
      await delay(Math.max(0, dueAt - performance.now()));
    }
  }

  /** Sends a request; resolves with the response status, or 0 on failure. */
  async #send(
    gateway: CalledGateway,
    credentials: Credentials,
    agent = this.#agent,
  ): Promise<number> {
    const { monitor, attempts, monitors, random, limitedTarget } =
      this.#options;
    const { keys, scheme, isPublic = false } = credentials;
    const id = `w${idStep * this.#nextId++ + 1}`;
    const kind = isPublic ? publicKind : this.#select(keyedKinds);
    monitor.recordProbe(id, gateway.address, kind.isIdempotent);
    const request: KeyedRequest = {
      id,
      gateway: gateway.name,
      key: scheme === undefined && keys.length === 1 ? keys[0] : undefined,
      isPublic,
      sentAt: performance.now(),
    };
    monitors.recordRequest(request);
    const { claimedWorkspaces, trailers } = this.#claim();
    const outcome = await sendAttempt({
      id,
      gateway: gateway.address,
      kind,
      position: Math.floor(random() * positionCount),
      agent,
      headers: credentialHeaders({
        keys,
        claimedWorkspaces,
        ...(scheme !== undefined && { scheme }),
      }),
      trailers,
    });
    const { end, status, body, isReused, isDelimited, namesLimit } = outcome;
    const endedAt = performance.now();
    attempts.record({
      ...request,
      endedAt,
      end,
      isReused,
      hasArrived: monitor.hasArrived(id),
    });
    if (end === AttemptEnd.answered) {
      monitor.recordResponse(id, {
        status,
        body,
        isDelimited,
        ...(namesLimit && { limitedTarget }),
      });
    }
    monitors.recordOutcome(request, { endedAt, status });
    return status;
  }

  #claim(): {
    readonly claimedWorkspaces: readonly string[];
    readonly trailers: Readonly<Record<string, string>>;
  } {
    const { history, random } = this.#options;
    if (random() >= claimingShare) {
      return { claimedWorkspaces: [], trailers: {} };
    }
    const name = this.#select(history.workspaces);
    if (random() < trailerShare) {
      return { claimedWorkspaces: [], trailers: { [claimTrailer]: name } };
    }
    const claimedWorkspaces = random() < 0.5 ? [name] : [name, name];
    return { claimedWorkspaces, trailers: {} };
  }

  #select<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#options.random() * items.length)]!;
  }
}
