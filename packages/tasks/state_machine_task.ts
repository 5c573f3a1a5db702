import type { Clock } from "./clock.ts";
import { Mailbox } from "./mailbox.ts";

/** The next state of a state machine and the effects to perform. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A pure transition function, without access to sockets, files or timers. */
export type StepFunction<State, Event, Effect> = (
  state: State,
  event: Event,
  nowMilliseconds: number,
) => Transition<State, Effect>;

/** Options of a {@link StateMachineTask}. */
export interface StateMachineTaskOptions<State, Event, Effect> {
  readonly initialState: State;
  readonly step: StepFunction<State, Event, Effect>;
  readonly clock: Clock;
  /** Performs one effect; resulting events are posted to the task. */
  readonly perform: (effect: Effect) => void;
  /** Called when a step or an effect throws, after the task has stopped. */
  readonly onFailure: (failure: unknown) => void;
}

/** Owns a state machine, applies the events of its mailbox and performs its effects. */
export class StateMachineTask<State, Event, Effect> {
  readonly #mailbox = new Mailbox<Event>();
  #state: State;

  /** Resolves when the task has stopped or failed. */
  readonly finished: Promise<void>;

  constructor(options: StateMachineTaskOptions<State, Event, Effect>) {
    const { initialState, step, clock, perform, onFailure } = options;
    this.#state = initialState;
    const initialTransition: Transition<State, Effect> = {
      state: initialState,
      effects: [],
    };
    this.finished = this.#mailbox.stream
      .scan(
        (previous, event) => step(previous.state, event, clock.now()),
        initialTransition,
      )
      .observe((transition) => {
        this.#state = transition.state;
        for (const effect of transition.effects) perform(effect);
      })
      .then(() => undefined, onFailure);
  }

  /** The state after the last event. */
  get state(): State {
    return this.#state;
  }

  /** Queues an event for the state machine. */
  post(event: Event): void {
    this.#mailbox.post(event);
  }

  /** Stops the task; later events are dropped. */
  stop(): void {
    this.#mailbox.close();
  }
}
