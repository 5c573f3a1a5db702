import { readForwardedCredentials } from "@kingcupglade/platform";
import type { KeyHistory } from "./key_history.ts";
import type { KeyedArrival, KeyedRequest } from "./keyed_request.ts";

/** Options of an {@link IdentityMonitor}. */
export interface IdentityMonitorOptions {
  readonly history: KeyHistory;
  /** Text that every key of the run contains. */
  readonly keyMarker: string;
  readonly onViolation: (violation: string) => void;
}

/**
 * Checks that targets receive no key, and of workspaces only the name of the
 * key's holder, whatever the caller claimed.
 */
export class IdentityMonitor {
  readonly #options: IdentityMonitorOptions;

  constructor(options: IdentityMonitorOptions) {
    this.#options = options;
  }

  recordArrival(request: KeyedRequest, arrival: KeyedArrival): void {
    const { history, keyMarker, onViolation } = this.#options;
    const { id, key, isPublic } = request;
    const { target, path, fields } = arrival;
    const texts = [path, ...fields];
    const { hasKey, workspaces } = readForwardedCredentials(fields);
    if (hasKey || texts.some((text) => text.includes(keyMarker))) {
      onViolation(`${target} received a key with ${id}`);
    }
    const holder = isPublic || key === undefined
      ? undefined
      : history.holderOf(key);
    const expected = holder === undefined ? [] : [holder];
    const others = history.workspaces.filter((each) => each !== holder);
    if (
      workspaces.join() !== expected.join() ||
      texts.some((text) => others.some((other) => text.includes(other)))
    ) {
      onViolation(
        `${target} received the workspaces [${workspaces.join()}] with ${id}, whose key is of ${
          holder ?? "none"
        }`,
      );
    }
  }
}
