import type { History, HistoryEvent } from "@kingcupglade/fakes";
import { readSettings, Vm } from "kingcupglade";
import type { VmOptions } from "kingcupglade";

/** Options of a {@link VmProcess}. */
export interface VmProcessOptions {
  readonly name: string;
  /** IP address of the listeners. */
  readonly ip: string;
  readonly settingsFile: string;
  readonly history: History;
}

/** A VM of a deployment that starts, stops and crashes within this process. */
export class VmProcess {
  readonly #options: VmProcessOptions;
  #vm: Vm | undefined;
  #lastOperation: Promise<void> = Promise.resolve();

  constructor(options: VmProcessOptions) {
    this.#options = options;
  }

  /** IP address of the listeners. */
  get ip(): string {
    return this.#options.ip;
  }

  /** Path of the settings file. */
  get settingsFile(): string {
    return this.#options.settingsFile;
  }

  /** The VM; undefined while it does not run. */
  get vm(): Vm | undefined {
    return this.#vm;
  }

  /** Starts or restarts the VM; does nothing if it runs. */
  start(policy: () => VmOptions["policy"]): Promise<void> {
    return this.#enqueue(async () => {
      if (this.#vm) return;
      this.#vm = await Vm.start({
        settings: await readSettings(this.settingsFile),
        onFailure: () => {},
        policy: { localAddress: this.ip, ...policy() },
      });
      this.recordFault("restart");
    });
  }

  /**
   * Stops the VM with a planned stop; `address` is its listener for callers.
   */
  stop(address: string): Promise<void> {
    return this.#enqueue(async () => {
      const { history, name } = this.#options;
      history.record({ kind: "stopping", subject: "vm", name, address });
      await this.#vm?.stop();
      this.#vm = undefined;
      history.record({ kind: "stopped", subject: "vm", name });
    });
  }

  /** Crashes the VM. */
  crash(): Promise<void> {
    return this.#enqueue(async () => {
      const vm = this.#vm;
      this.#vm = undefined;
      this.recordFault("crash");
      await vm?.crash();
    });
  }

  /** Records a fault of the VM in the history. */
  recordFault(
    fault: Extract<HistoryEvent, { readonly kind: "fault" }>["fault"],
  ): void {
    const { history, name } = this.#options;
    history.record({ kind: "fault", subject: "vm", name, fault });
  }

  // Concurrent disturbances of one VM must not start it twice.
  #enqueue(operation: () => Promise<void>): Promise<void> {
    const result = this.#lastOperation.then(operation);
    this.#lastOperation = result.catch(() => {});
    return result;
  }
}
