import type { WatchAnswer } from "@kingcupglade/fleet_control";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import { awaitDirectPath, DirectPathIntervals } from "./direct_path_return.ts";
import { isDetour, isSamePath } from "./leader_path.ts";
import type { DetourPath, LeaderPath } from "./leader_path.ts";

/** Options of a {@link CurrentPath}. */
export interface CurrentPathOptions {
  /** Asks the VM at a peer address whether it leads. */
  readonly ask: (address: string) => Promise<WatchAnswer>;
  /** Time since the last contact, for the log; null before the first. */
  readonly contactAge: () => number | null;
  readonly clock: Clock;
  readonly logger: Pick<Logger, "info">;
}

/**
 * The path on which a gateway calls the leader. From one through another control
 * VM it goes back to the leader itself, once that responds.
 */
export class CurrentPath {
  readonly #options: CurrentPathOptions;
  readonly #intervals = new DirectPathIntervals();
  #path: LeaderPath | null = null;
  #lostLeader: string | null = null;
  /** VM that forwards calls, as logged last. */
  #loggedThrough: string | null = null;
  #hasEnded = false;

  constructor(options: CurrentPathOptions) {
    this.#options = options;
  }

  /** The path; null while no leader is known. */
  get value(): LeaderPath | null {
    return this.#path;
  }

  /** Whether the leader at an address was lost since the last contact. */
  isLost(leader: string): boolean {
    return leader === this.#lostLeader;
  }

  /** Calls the leader on a path from now on. */
  use(path: LeaderPath): void {
    if (isSamePath(this.#path, path)) return;
    this.#path = path;
    this.#recordThrough(path);
    if (isDetour(path)) void this.#awaitDirectPath(path);
  }

  /** Records that the leader has responded on the path. */
  recordContact(): void {
    this.#lostLeader = null;
  }

  /** Records that the leader does not respond on a path. */
  lose({ leader }: LeaderPath): void {
    this.#path = null;
    this.#lostLeader = leader;
  }

  end(): void {
    this.#hasEnded = true;
  }

  #recordThrough({ leader, through }: LeaderPath): void {
    const before = this.#loggedThrough;
    if (through === before) return;
    this.#loggedThrough = through;
    const { logger, clock, contactAge } = this.#options;
    if (through === null) this.#intervals.recordReturn(clock.now());
    logger.info("control-path-changed", {
      control: leader,
      through,
      before,
      contactAgeMilliseconds: contactAge(),
    });
  }

  async #awaitDirectPath(path: DetourPath): Promise<void> {
    const { ask, clock } = this.#options;
    const next = await awaitDirectPath(path, {
      ask,
      intervalMilliseconds: this.#intervals.next(clock.now()),
      hasEnded: () => this.#hasEnded || this.#path !== path,
    });
    if (next) this.use(next);
  }
}
