import type { FleetState } from "@kingcupglade/fleet";

/**
 * Tells which log entries change what gateways receive. Others, such as the first
 * entry of a term, need no update: on a calm day they were an eighth of all
 * updates.
 */
export class PublishedState {
  #state: FleetState | undefined;
  #index = 0;

  /**
   * Returns the index of the last entry that changed the published state, or of
   * a later one.
   *
   * @param appliedIndex Index of the last entry that `state` contains.
   */
  indexOf(state: FleetState, appliedIndex: number): number {
    const before = this.#state;
    const hasChanged = before === undefined || before.items !== state.items ||
      before.evacuations !== state.evacuations ||
      before.ranges !== state.ranges || before.departures !== state.departures;
    if (hasChanged) this.#index = appliedIndex;
    this.#state = state;
    return this.#index;
  }
}
