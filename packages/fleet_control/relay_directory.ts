import { chooseRelays } from "@kingcupglade/fleet";
import type { RevisionCounter, VmEndpoint } from "@kingcupglade/fleet";
import type { GatewayDirectory } from "./gateway_directory.ts";

/** Options of a {@link RelayDirectory}. */
export interface RelayDirectoryOptions {
  readonly gateways: Pick<GatewayDirectory, "relayCandidates">;
  readonly revisions: RevisionCounter;
}

/** Gateways that may take requests of one that reaches no target. */
export class RelayDirectory {
  readonly #options: RelayDirectoryOptions;
  #relays: readonly VmEndpoint[] = [];
  #revision = 0;

  constructor(options: RelayDirectoryOptions) {
    this.#options = options;
  }

  get relays(): readonly VmEndpoint[] {
    return this.#relays;
  }

  /** Revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** Chooses from the gateways in contact; called periodically. */
  choose(now: number): void {
    const { gateways, revisions } = this.#options;
    const relays = chooseRelays(gateways.relayCandidates(now));
    if (namesOf(relays) === namesOf(this.#relays)) return;
    this.#relays = relays;
    this.#revision = revisions.next();
  }
}

function namesOf(vms: readonly VmEndpoint[]): string {
  return vms.map(({ name }) => name).join();
}
