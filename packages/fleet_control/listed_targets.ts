import { TargetsDigest } from "@kingcupglade/fleet";
import type {
  FleetState,
  RevisionCounter,
  TargetRegistry,
} from "@kingcupglade/fleet";
import type { FleetReplica } from "./leader_session.ts";
import type { TargetViews } from "./target_views.ts";

/** Options of {@link ListedTargets}. */
export interface ListedTargetsOptions {
  readonly replica: FleetReplica;
  readonly registry: TargetRegistry;
  readonly revisions: RevisionCounter;
  readonly targetViews: TargetViews;
}

/** Digest of the targets as published to gateways, kept from change to change. */
export class ListedTargets {
  readonly #options: ListedTargetsOptions;
  readonly #digest = new TargetsDigest();
  #revision = -1;
  #index = -1;
  #departures: FleetState["departures"] | undefined;

  constructor(options: ListedTargetsOptions) {
    this.#options = options;
  }

  get digest(): number {
    const { replica, revisions } = this.#options;
    const { departures } = replica.state;
    const hasChanged = revisions.current !== this.#revision ||
      departures !== this.#departures;
    if (hasChanged) this.#update();
    this.#revision = revisions.current;
    this.#departures = departures;
    this.#index = replica.appliedIndex;
    return this.#digest.value;
  }

  #update(): void {
    const { registry, targetViews } = this.#options;
    const departed = this.#departedSince();
    for (const target of registry.all()) {
      const isChanged = target.revision > this.#revision ||
        departed.has(target.incarnation.target);
      if (isChanged) this.#digest.set(targetViews.listedOf(target));
    }
    for (const name of registry.removedSince(this.#revision)) {
      this.#digest.delete(name);
    }
  }

  #departedSince(): ReadonlySet<string> {
    const { departures } = this.#options.replica.state;
    if (departures === this.#departures) return new Set();
    return new Set(
      [...departures].filter(([, { changedAt }]) => changedAt > this.#index)
        .map(([name]) => name),
    );
  }
}
