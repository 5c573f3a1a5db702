import { describeFailure } from "@kingcupglade/telemetry";
import type { HttpListener } from "@kingcupglade/transport";
import { Readiness } from "@kingcupglade/transport";
import { openOperatorsListener } from "./listeners/operators.ts";
import type { ResolvedSettings } from "./settings/schema.ts";
import { createVmContext } from "./vm/context.ts";
import type { VmContext } from "./vm/context.ts";
import { openListeners } from "./vm/listeners.ts";
import type { VmListeners } from "./vm/listeners.ts";
import { startTasks } from "./vm/tasks.ts";
import type { VmPolicy, VmTasks } from "./vm/tasks.ts";

/** The callers' listener closes after this time without a request. */
const quietMilliseconds = 300;
const maximumDrainMilliseconds = 15_000;
/** Time for calls of operators, targets and other VMs to end. */
const maximumCloseMilliseconds = 1000;
const ledgerSyncTimeoutMilliseconds = 3000;

/** Options of {@link Vm.start}. */
export interface VmOptions {
  readonly settings: ResolvedSettings;
  /** Called when the VM cannot continue. */
  readonly onFailure: (failure: unknown) => void;
  /** Policies replaced for measurements. @default none */
  readonly policy?: VmPolicy;
}

/** A VM: a gateway, and a control replica if it has a data folder. */
export class Vm {
  readonly #context: VmContext;
  readonly #tasks: VmTasks;
  readonly #listeners: VmListeners & { readonly operators: HttpListener };
  readonly #readiness = new Readiness({ isReady: () => this.#isReady });

  protected constructor(
    context: VmContext,
    tasks: VmTasks,
    listeners: VmListeners & { readonly operators: HttpListener },
  ) {
    this.#context = context;
    this.#tasks = tasks;
    this.#listeners = listeners;
  }

  /**
   * Starts a VM; all listeners are open when the promise resolves.
   *
   * @throws {SettingsError} when a file that the settings name cannot be used.
   * @throws {StorageError} when the data folder belongs to another VM.
   * @throws {ListenError} when an address cannot be used.
   */
  static async start(options: VmOptions): Promise<Vm> {
    const policy = options.policy ?? {};
    const context = await createVmContext(options.settings, policy);
    let vm: Vm | undefined;
    // Opened first, so that a second process with the same settings fails
    // before it opens the data folder.
    const operators = await openOperatorsListener({
      ...context,
      address: context.settings.listen.operators,
      control: context.createControlClient(),
      bundle: () => vm ? vm.#tasks.routing.table.bundle : null,
      isReady: () => vm !== undefined && vm.#readiness.answerProbe(),
    });
    try {
      const tasks = await startTasks(context, policy);
      const listeners = await openListeners(context, tasks);
      vm = new Vm(context, tasks, { ...listeners, operators });
    } catch (failure) {
      operators.destroy();
      throw failure;
    }
    context.logger.info("vm-started");
    return vm;
  }

  /** Whether this VM routes by a table under a valid lease. */
  get hasLease(): boolean {
    return this.#tasks.routing.hasLease;
  }

  /** Version and digest of the bundle that this VM routes by. */
  get bundle(): { readonly version: number; readonly digest: string } | null {
    return this.#tasks.routing.table.bundle;
  }

  /** Claims of idempotency keys that this VM stores a record of. */
  get storedClaims(): readonly string[] {
    return this.#tasks.ledger.storedClaims;
  }

  /** Finishes all requests, transfers this VM's roles, and stops. */
  async stop(): Promise<void> {
    const { logger, settings } = this.#context;
    const { routing, ledger, gateway } = this.#tasks;
    const { leaveMilliseconds } = settings.listen;
    this.#readiness.startLeaving();
    logger.info("vm-stopping");
    await ledger.untilSynchronised(ledgerSyncTimeoutMilliseconds);
    await Promise.all([
      routing.leave(),
      this.#listeners.callers.drain({
        minimumMilliseconds: leaveMilliseconds,
        quietMilliseconds,
        maximumMilliseconds: Math.max(
          maximumDrainMilliseconds,
          leaveMilliseconds,
        ),
        isBalancerNotified: () => this.#readiness.isBalancerNotified,
      }),
    ]);
    await gateway.untilIdle();
    await this.#stopTasks();
    logger.info("vm-stopped");
  }

  /** Stops immediately, as in a crash; for tests. */
  async crash(): Promise<void> {
    const { control, credits, exchanges, forwarder, ledger, routing } =
      this.#tasks;
    credits.stop();
    ledger.stop();
    this.#closeConnections();
    await Promise.allSettled([
      exchanges.close(),
      forwarder.close(),
      routing.stop(),
      control?.crash(),
    ]);
  }

  get #isReady(): boolean {
    const { routing, credits } = this.#tasks;
    const { dataCentre } = this.#context.settings.vm;
    return routing.hasLease && credits.isReady &&
      routing.table.isInService(dataCentre);
  }

  async #stopTasks(): Promise<void> {
    const { control, credits, exchanges, forwarder, ledger, routing } =
      this.#tasks;
    ledger.stop();
    credits.stop();
    await routing.stop();
    await control?.stop().catch((failure) =>
      this.#context.logger.warn("control-stop-failed", {
        reason: describeFailure(failure),
      })
    );
    await Promise.all(
      Object.values(this.#listeners).map((each) =>
        each.close({ maximumMilliseconds: maximumCloseMilliseconds })
      ),
    );
    this.#closeConnections();
    await exchanges.close();
    await forwarder.close();
  }

  #closeConnections(): void {
    for (const listener of Object.values(this.#listeners)) {
      listener.destroy();
    }
    this.#context.peers.close();
  }
}
