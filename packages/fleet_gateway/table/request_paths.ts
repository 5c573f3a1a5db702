import { alternativePath } from "./leader_path.ts";
import type { LeaderPath } from "./leader_path.ts";

/**
 * Chooses the paths of the requests for a first update: every other one takes
 * another path, if a control VM names the leader.
 */
export class RequestPaths {
  readonly #path: LeaderPath;
  /** Peer addresses of the control VMs that name the leader. */
  readonly #namedBy = new Set<string>();
  #count = 0;

  constructor(path: LeaderPath) {
    this.#path = path;
  }

  /** Records that the control VM at an address names the leader. */
  recordNamed(address: string): void {
    this.#namedBy.add(address);
  }

  /** Returns the path of the next request. */
  next(): LeaderPath {
    const other = this.#count % 2 === 1
      ? alternativePath(this.#path, this.#namedBy)
      : undefined;
    this.#count += 1;
    return other ?? this.#path;
  }
}
