/**
 * Tasks that own their state: a mailbox that is read as a `most` stream, a pure
 * transition function, and a clock that tests can replace.
 *
 * @module
 */
export { Clock, ManualClock, MonotonicClock } from "./clock.ts";
export { Mailbox } from "./mailbox.ts";
export { StallDetector } from "./stall_detector.ts";
export type { StallDetectorOptions } from "./stall_detector.ts";
export { StateMachineTask } from "./state_machine_task.ts";
export type {
  StateMachineTaskOptions,
  StepFunction,
  Transition,
} from "./state_machine_task.ts";
