import { RangePhase } from "@kingcupglade/ownership";
import type { KeyHasher } from "@kingcupglade/ownership";
import { Header, notRun, Reason } from "@kingcupglade/routing";
import type { MatchedRequest, Refusal } from "@kingcupglade/routing";
import type { RoutingTask } from "../control/routing_task.ts";
import type { Destination } from "./destination.ts";
import type { RequestsInProgress } from "./requests_in_progress.ts";

/** Finds the target that owns the key of a request. */
export class OwnerChooser {
  readonly #routing: RoutingTask;
  readonly #hasher: KeyHasher;
  readonly #inProgress: RequestsInProgress;

  constructor(options: {
    readonly routing: RoutingTask;
    readonly hasher: KeyHasher;
    readonly inProgress: RequestsInProgress;
  }) {
    this.#routing = options.routing;
    this.#hasher = options.hasher;
    this.#inProgress = options.inProgress;
  }

  /** Returns the owner of a request's key, or the reason why there is none. */
  choose(matched: MatchedRequest, key: string): Destination | Refusal {
    const { table } = this.#routing;
    const { service, tenant } = matched;
    const subject = { service, tenant };
    const position = this.#hasher.position({ service, tenant, key });
    const located = table.rangeOf(matched, position);
    const owner = located?.range.owner &&
      table.targets.get(located.range.owner);
    if (!located || !owner || located.range.phase !== RangePhase.serving) {
      return notRun(Reason.noOwner, { retryAfterSeconds: 1 });
    }
    const { epoch } = located.range;
    const group = located.group.id;
    return {
      target: owner,
      headers: {
        [Header.epoch]: String(epoch),
        [Header.position]: String(position),
        [Header.group]: group,
      },
      begin: () => {
        this.#routing.countRequest(group, position);
        return this.#inProgress.begin({ ...subject, group, position, epoch });
      },
      isCurrent: () => {
        const range = this.#routing.table.rangeOf(matched, position)?.range;
        return range?.phase === RangePhase.serving && range.epoch === epoch;
      },
    };
  }

  /** Returns the ID of the range or service that a request waits for. */
  waitKeyOf(matched: MatchedRequest): string {
    const { service, tenant, key } = matched;
    if (key === undefined) return service;
    const position = this.#hasher.position({ service, tenant, key });
    const located = this.#routing.table.rangeOf(matched, position);
    return located ? `${located.group.id}/${located.range.start}` : service;
  }
}
