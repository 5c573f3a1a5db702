import { encodeWorkspace } from "@kingcupglade/platform";
import { callControl } from "./control_call.ts";
import { delay } from "./fault_injector.ts";
import type { KeyChange, KeyHistory } from "./key_history.ts";

/** Operators give up on a call after this time. */
const responseTimeoutMilliseconds = 4000;
const resendMilliseconds = 150;
const maximumAttempts = 6;
const minimumGapMilliseconds = 300;
const gapSpreadMilliseconds = 900;
/** Keys of the workspace whose keys change; each lives for as many changes. */
const rotatingKeyCount = 3;
/** Share of the changes of which an older one is sent again afterwards. */
const repeatedShare = 0.2;
const okStatus = 200;

/** A workspace of the fleet. */
export interface SoakWorkspace {
  readonly name: string;
  /** 0 for no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Options of a {@link WorkspaceOperator}. */
export interface WorkspaceOperatorOptions {
  /** IP:PORT of every control VM. */
  readonly control: readonly string[];
  readonly history: KeyHistory;
  /** Workspace whose keys are added and removed. */
  readonly rotating: SoakWorkspace;
  /** Workspaces that keep their key. */
  readonly others: readonly SoakWorkspace[];
  /** Returns a key that was not used before. */
  readonly createKey: () => string;
  readonly random: () => number;
}

/** Creates workspaces, and adds and removes the keys of one of them. */
export class WorkspaceOperator {
  readonly #options: WorkspaceOperatorOptions;
  readonly #sentBodies: string[] = [];
  /** Changes of keys, one after another. */
  #changes: Promise<unknown> = Promise.resolve();
  #loop: Promise<void> | undefined;
  #version = 0;
  #isStopped = false;

  constructor(options: WorkspaceOperatorOptions) {
    this.#options = options;
  }

  /** Creates the workspaces, or throws. */
  async createWorkspaces(): Promise<void> {
    const { rotating, others, createKey } = this.#options;
    for (const workspace of others) {
      await this.#createWorkspace(workspace, [createKey()]);
    }
    await this.#createWorkspace(
      rotating,
      Array.from({ length: rotatingKeyCount }, createKey),
    );
  }

  start(): void {
    this.#loop = this.#rotateKeys();
  }

  /** Ends the changes of keys and waits for the last one. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#loop;
    await this.#changes;
  }

  /**
   * Replaces the oldest key of the workspace; returns the key that was removed, or
   * undefined if the change was not acknowledged.
   */
  replaceKey(): Promise<string | undefined> {
    const { rotating, history, createKey } = this.#options;
    const replacement = this.#changes.then(async () => {
      const [oldest, ...keys] = history.keysOf(rotating.name);
      const isAcknowledged = await this.#sendKeys(rotating, [
        ...keys,
        createKey(),
      ]);
      return isAcknowledged ? oldest : undefined;
    });
    this.#changes = replacement;
    return replacement;
  }

  async #createWorkspace(
    workspace: SoakWorkspace,
    keys: readonly string[],
  ): Promise<void> {
    if (await this.#sendKeys(workspace, keys)) return;
    throw new Error(`${workspace.name} was not acknowledged in time`);
  }

  async #rotateKeys(): Promise<void> {
    const { random, control } = this.#options;
    while (!this.#isStopped) {
      await this.replaceKey();
      if (random() < repeatedShare) {
        const older = Math.floor(random() * this.#sentBodies.length);
        const address = control[Math.floor(random() * control.length)]!;
        await callControl(address, {
          method: "PATCH",
          body: this.#sentBodies[older],
          timeoutMilliseconds: responseTimeoutMilliseconds,
        });
      }
      await delay(minimumGapMilliseconds + random() * gapSpreadMilliseconds);
    }
  }

  /** Sends a change until it is acknowledged; returns whether it was. */
  async #sendKeys(
    workspace: SoakWorkspace,
    keys: readonly string[],
  ): Promise<boolean> {
    const { history, control, random } = this.#options;
    this.#version += 1;
    const body = JSON.stringify({
      upsert: {
        tenants: [
          encodeWorkspace({ ...workspace, keys, version: this.#version }),
        ],
      },
    });
    this.#sentBodies.push(body);
    const change: KeyChange = {
      workspace: workspace.name,
      keys,
      sentAt: performance.now(),
    };
    history.recordChange(change);
    const first = Math.floor(random() * control.length);
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
      const { status } = await callControl(
        control[(first + attempt) % control.length]!,
        {
          method: "PATCH",
          body,
          timeoutMilliseconds: responseTimeoutMilliseconds,
        },
      );
      if (status === okStatus) {
        change.acknowledgedAt = performance.now();
        return true;
      }
      await delay(resendMilliseconds);
    }
    return false;
  }
}
