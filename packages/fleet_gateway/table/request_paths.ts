import type { UpdateRequest } from "./first_update.ts";
import { alternativePath, firstVm } from "./leader_path.ts";
import type { LeaderPath } from "./leader_path.ts";

/** Options of {@link RequestPaths}. */
export interface RequestPathsOptions<Update> {
  /** Path that the leader was found on. */
  readonly path: LeaderPath;
  /** Requests an update on a path. */
  readonly send: (
    path: LeaderPath,
    request: Partial<UpdateRequest>,
  ) => Promise<Update>;
  /** Whether a response is an update, rather than the name of another VM. */
  readonly isUpdate: (response: Update) => boolean;
}

/**
 * Chooses the paths of the requests for a first update: every other one takes
 * another path, if a control VM names the leader.
 */
export class RequestPaths<Update> {
  readonly #options: RequestPathsOptions<Update>;
  /** Peer addresses of the control VMs that name the leader. */
  readonly #namedBy = new Set<string>();
  /** Peer addresses of the VMs that were asked. */
  readonly #asked = new Set<string>();
  #count = 0;

  constructor(options: RequestPathsOptions<Update>) {
    this.#options = options;
  }

  /** Peer addresses of the VMs that were asked. */
  get asked(): Iterable<string> {
    return this.#asked;
  }

  /** Records that the control VM at an address names the leader. */
  recordNamed(address: string): void {
    this.#namedBy.add(address);
  }

  /** Sends the next request on its path. */
  request(request: UpdateRequest): Promise<Update> {
    const { path, send } = this.#options;
    const next = this.#next();
    this.#asked.add(firstVm(next));
    return next === path
      ? send(path, request)
      : this.#requestOnOther(next, request);
  }

  // A VM that does not forward the request responds at once, which must not end
  // the requests to the leader.
  async #requestOnOther(
    path: LeaderPath,
    { onHeader: _, ...request }: UpdateRequest,
  ): Promise<Update> {
    const { send, isUpdate } = this.#options;
    const response = await send(path, request);
    if (!isUpdate(response)) throw new Error("the VM forwards no request");
    return response;
  }

  #next(): LeaderPath {
    const { path } = this.#options;
    const unasked = [...this.#namedBy].filter((each) => !this.#asked.has(each));
    const other = this.#count % 2 === 1
      ? alternativePath(path, [...unasked, ...this.#namedBy])
      : undefined;
    this.#count += 1;
    return other ?? path;
  }
}
