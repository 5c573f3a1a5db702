import { MonotonicClock, StallDetector } from "@kingcupglade/tasks";
import type { ContactRecord } from "./contact_record.ts";
import { IdentityMonitor } from "./identity_monitor.ts";
import type { KeyHistory } from "./key_history.ts";
import type {
  KeyedArrival,
  KeyedOutcome,
  KeyedRequest,
} from "./keyed_request.ts";
import { RejectedKeyMonitor } from "./rejected_key_monitor.ts";
import { RevocationMonitor } from "./revocation_monitor.ts";
import { ServedShareMonitor } from "./served_share_monitor.ts";
import type { JudgedTimes } from "./served_share_monitor.ts";
import { UnknownKeyMonitor } from "./unknown_key_monitor.ts";
import { WorkspaceLimitMonitor } from "./workspace_limit_monitor.ts";
import type { WorkspaceLimit } from "./workspace_limit_monitor.ts";

const observationIntervalMilliseconds = 50;

/** Options of {@link WorkspaceMonitors}. */
export interface WorkspaceMonitorsOptions {
  readonly history: KeyHistory;
  /** Text that every key of the run contains. */
  readonly keyMarker: string;
  readonly revokeMilliseconds: number;
  readonly limits: readonly WorkspaceLimit[];
  /** Workspace whose callers stay below its limit. */
  readonly below: string;
}

/** Passes what callers and targets observe to the monitors of workspaces. */
export class WorkspaceMonitors {
  readonly violations: string[] = [];
  readonly revocations: RevocationMonitor;
  readonly served: ServedShareMonitor;
  readonly rejectedKeys: RejectedKeyMonitor;
  readonly limits: ReadonlyMap<string, WorkspaceLimitMonitor>;
  readonly #options: WorkspaceMonitorsOptions;
  readonly #identities: IdentityMonitor;
  readonly #unknownKeys: UnknownKeyMonitor;
  readonly #requests = new Map<string, KeyedRequest>();

  constructor(options: WorkspaceMonitorsOptions) {
    this.#options = options;
    const { history, keyMarker, revokeMilliseconds, limits, below } = options;
    const onViolation = (violation: string) => {
      const seconds = (performance.now() / 1000).toFixed(3);
      this.violations.push(`at ${seconds} s: ${violation}`);
    };
    const common = { history, onViolation };
    this.#identities = new IdentityMonitor({ ...common, keyMarker });
    this.#unknownKeys = new UnknownKeyMonitor(common);
    this.revocations = new RevocationMonitor({ ...common, revokeMilliseconds });
    this.served = new ServedShareMonitor(below);
    this.rejectedKeys = new RejectedKeyMonitor(history);
    const time = observeThisProcess();
    this.limits = new Map(
      limits.map((limit) => [
        limit.workspace,
        new WorkspaceLimitMonitor({ limit, ...time, onViolation }),
      ]),
    );
  }

  /** Records that a caller sends a request. */
  recordRequest(request: KeyedRequest): void {
    this.#requests.set(request.id, request);
    this.revocations.recordRequest(request);
  }

  /** Records that a target receives a request, whether it runs it or not. */
  recordArrival(id: string, arrival: KeyedArrival): void {
    const request = this.#requests.get(id) ?? {
      id,
      gateway: "",
      key: undefined,
      isPublic: true,
      sentAt: 0,
    };
    this.#identities.recordArrival(request, arrival);
    this.#unknownKeys.recordArrival(request, arrival);
    this.revocations.recordArrival(request, arrival);
    this.limits.get(this.#holderOf(request) ?? "")?.recordArrival(id);
  }

  /** Records that trailers follow a request that has arrived. */
  recordTrailers(id: string, arrival: KeyedArrival): void {
    const request = this.#requests.get(id);
    if (request) this.#identities.recordArrival(request, arrival);
  }

  /** Records how a request ended for its caller. */
  recordOutcome(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.rejectedKeys.recordOutcome(request, outcome);
    if (this.#holderOf(request) === this.#options.below) {
      this.served.recordOutcome(request, outcome);
    }
  }

  /**
   * Returns what is wrong, at the end of a run.
   *
   * @param times Times in which the load below a limit is judged.
   */
  findViolations(
    contacts: ContactRecord,
    times: JudgedTimes,
  ): readonly string[] {
    return [
      ...this.violations,
      ...this.rejectedKeys.findViolations(contacts),
      ...this.served.findViolations(times),
    ];
  }

  #holderOf({ key, isPublic }: KeyedRequest): string | undefined {
    return key === undefined || isPublic
      ? undefined
      : this.#options.history.holderOf(key);
  }
}

function observeThisProcess() {
  const clock = new MonotonicClock();
  const stalls = new StallDetector({ clock });
  setInterval(() => stalls.observe(), observationIntervalMilliseconds).unref();
  return { now: () => clock.now(), readDelay: () => stalls.readDelay() };
}
