import type {
  RevisionCounter,
  TargetRegistry,
  ViewDelta,
  ViewPosition,
} from "@kingcupglade/fleet";
import { combineDigests, ItemsDigestCache } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import { Feature } from "./feature.ts";
import type { GatewayDirectory } from "./gateway_directory.ts";
import type { FleetReplica } from "./leader_session.ts";
import { ListedTargets } from "./listed_targets.ts";
import type { ManagerDirectory } from "./manager_directory.ts";
import type { RangeCoordinator } from "./range_coordinator.ts";
import type { RelayDirectory } from "./relay_directory.ts";
import type { SuspectDirectory } from "./suspect_directory.ts";
import type { TargetDepartures } from "./target_departures.ts";
import type { TargetViews } from "./target_views.ts";
import type { Watch, WatchAnswer } from "./watch.ts";
import { encodeWatchAnswer } from "./watch_codec.ts";

/** Options of an {@link UpdateEncoder}. */
export interface UpdateEncoderOptions {
  readonly replica: FleetReplica;
  readonly clock: Clock;
  readonly term: number;
  readonly revisions: RevisionCounter;
  readonly registry: TargetRegistry;
  readonly gateways: GatewayDirectory;
  readonly managers: ManagerDirectory;
  readonly relays: RelayDirectory;
  readonly suspects: SuspectDirectory;
  readonly targetViews: TargetViews;
  readonly ranges: RangeCoordinator;
  readonly departures: TargetDepartures;
  /** Peer addresses of the control VMs, and the revision that changed them. */
  readonly control: {
    readonly addresses: readonly string[];
    readonly revision: number;
  };
  /** Returns whether every live target has had time to send a heartbeat. */
  readonly isComplete: () => boolean;
}

/** Encodes the updates of a leader for gateways. */
export class UpdateEncoder {
  readonly #options: UpdateEncoderOptions;
  /** Encoded updates by the gateway's position; valid until the next change. */
  readonly #encoded = new Map<string, Uint8Array<ArrayBuffer>>();
  #encodedKey = "";
  readonly #itemsDigest = new ItemsDigestCache();
  readonly #listed: ListedTargets;

  constructor(options: UpdateEncoderOptions) {
    this.#options = options;
    this.#listed = new ListedTargets(options);
  }

  /**
   * Returns the encoded update since the position of a watch request. Gateways at
   * the same position share it, if they use the same form.
   */
  encode(
    { position, features }: Pick<Watch, "position" | "features">,
  ): Uint8Array<ArrayBuffer> {
    const form = { isCompact: features.includes(Feature.compactWatch) };
    const { replica, revisions, isComplete } = this.#options;
    const { appliedIndex } = replica;
    const key = [appliedIndex, revisions.current, isComplete()].join("/");
    if (key !== this.#encodedKey) this.#encoded.clear();
    this.#encodedKey = key;
    const positionId = [...Object.values(position), form.isCompact].join("/");
    const known = this.#encoded.get(positionId);
    if (known) return known;
    const answer: WatchAnswer = { kind: "news", delta: this.#delta(position) };
    const encoded = encodeWatchAnswer(answer, form);
    this.#encoded.set(positionId, encoded);
    return encoded;
  }

  #delta(position: ViewPosition): ViewDelta {
    const { replica, clock, term, revisions, registry } = this.#options;
    const { gateways, managers, relays, suspects } = this.#options;
    const { targetViews, ranges, departures, control } = this.#options;
    const { state, appliedIndex } = replica;
    const now = clock.now();
    const isSameTerm = position.term === term;
    const since = isSameTerm ? position.revision : -1;
    const isComplete = this.#options.isComplete();
    const itemsDigest = this.#itemsDigest.of(state.items);
    const isFullUpdate = isComplete && !(isSameTerm && position.isComplete);
    return {
      position: {
        index: appliedIndex,
        term: term,
        revision: revisions.current,
        isComplete,
      },
      items: [...state.items.values()].filter(({ changedAt }) =>
        changedAt > position.index
      ).map((item) => ({ ...item, source: "" })),
      itemsDigest: itemsDigest.value,
      tableDigest: isComplete
        ? combineDigests(itemsDigest.contentValue, this.#listed.digest)
        : null,
      dataCentresOut: [...state.evacuations].filter(([, { isOut }]) => isOut)
        .map(([name]) => name),
      departed: [...state.departures].filter(([name, departure]) =>
        departure.changedAt > position.index &&
        !departures.hasLaterIncarnation(
          name,
          departures.certainOf(name) ?? departure,
        )
      ).map(([name]) => name),
      targets: targetViews.changesSince(isFullUpdate ? -1 : since, now),
      areTargetsComplete: isFullUpdate,
      removedTargets: isSameTerm ? registry.removedSince(since) : [],
      ranges: ranges.changesSince(position, { since, now }),
      gateways: isComplete ? gateways.activeNames(now).length : 0,
      managers: isComplete && (isFullUpdate || managers.revision > since)
        ? managers.managers
        : null,
      relays: isComplete && (isFullUpdate || relays.revision > since)
        ? relays.relays
        : null,
      suspects: suspects.revision > since ? suspects.all() : null,
      control: control.revision > since ? control.addresses : null,
    };
  }
}
