import type { Fault } from "./fault_injector.ts";
import type { SoakTarget } from "./soak_target.ts";

/** Injects a fault into a target. */
export function injectTargetFault(
  target: SoakTarget,
  random: () => number,
): Fault {
  const choice = random();
  if (choice < 0.3) {
    target.crash();
    return {
      description: `crash ${target.name}`,
      repair: () => target.start(),
    };
  }
  if (choice < 0.4) {
    target.isPausing = true;
    return {
      description: `pause requests to ${target.name}`,
      repair: () => {
        target.isPausing = false;
      },
    };
  }
  if (choice < 0.5) {
    target.isLeaving = true;
    return {
      description: `announce that ${target.name} leaves`,
      repair: () => {
        target.crash();
        return target.start();
      },
    };
  }
  if (choice < 0.75) {
    target.isIsolated = true;
    return {
      description: `isolate ${target.name} from control`,
      repair: () => {
        target.isIsolated = false;
      },
    };
  }
  // No further number is drawn, so that a seed keeps its other faults.
  const [, name, share] = responseFaults.find(([below]) => choice < below)!;
  target[share] = faultyResponseShare;
  return {
    description: `${name} responses of ${target.name}`,
    repair: () => {
      target[share] = 0;
    },
  };
}

const faultyResponseShare = 0.3;
/** Faults of responses, by the upper bound of the numbers that choose them. */
const responseFaults = [
  [0.83, "lose", "lostResponseShare"],
  [0.92, "cut", "cutResponseShare"],
  [Infinity, "repeat", "repeatedResponseShare"],
] as const;
