/**
 * Workspaces: keys of callers, the index that finds a key's workspace, and the lease
 * under which a gateway may rely on it.
 *
 * @module
 */
export { ElapsedClock } from "./elapsed_clock.ts";
