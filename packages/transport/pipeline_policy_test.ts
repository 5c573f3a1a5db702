import { describe, expect, it } from "vitest";
import { nextPipelineStep, PipelineStep } from "./pipeline_policy.ts";
import type { PipelineState } from "./pipeline_policy.ts";

const free: PipelineState = {
  inProgress: 2,
  maximum: 4,
  isClosing: false,
  hasUnsafe: false,
  isSafe: true,
  waitingBytes: 100,
  maximumWaitingBytes: 16_384,
  isMemoryFull: false,
  isCallerSlow: false,
};

describe("the next request of a connection", () => {
  const cases: readonly (readonly [
    string,
    Partial<PipelineState>,
    PipelineStep,
  ])[] = [
    ["is started below the bound", {}, PipelineStep.proceed],
    ["is read below the bound", { isSafe: undefined }, PipelineStep.proceed],
    ["waits at the bound", { inProgress: 4 }, PipelineStep.concurrency],
    ["waits if it is not safe", { isSafe: false }, PipelineStep.order],
    ["waits behind one that is not safe", {
      inProgress: 1,
      hasUnsafe: true,
      isSafe: undefined,
    }, PipelineStep.order],
    ["waits at the memory of its connection", {
      waitingBytes: 16_384,
    }, PipelineStep.memory],
    ["waits at the memory of the VM", {
      isMemoryFull: true,
    }, PipelineStep.memory],
    ["waits for a caller that does not read", {
      isCallerSlow: true,
    }, PipelineStep.caller],
    // Otherwise a connection could stand still for ever.
    ["never waits alone", {
      inProgress: 0,
      maximum: 1,
      isSafe: false,
      waitingBytes: 20_000,
      isMemoryFull: true,
      isCallerSlow: true,
    }, PipelineStep.proceed],
    ["is dropped behind a response that closes", {
      isClosing: true,
      inProgress: 4,
    }, PipelineStep.discard],
    ["is dropped after a response that closed", {
      isClosing: true,
      inProgress: 0,
    }, PipelineStep.discard],
  ];
  it.each(cases)("%s", (_what, state, step) => {
    expect(nextPipelineStep({ ...free, ...state })).toBe(step);
  });
});
