import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Returns the bytes that objects and buffers in use take, after a collection. */
export function measureMemory(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  // What the first collection finds unused is released by the second.
  collect();
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
