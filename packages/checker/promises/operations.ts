import type { EventOf } from "../events.ts";

/**
 * What a caller asked for: requests that share an Idempotency-Key are one
 * operation, any other request is one of its own.
 */
export function operationOf(asked: EventOf<"asked">): string {
  return asked.idempotencyKey === ""
    ? asked.request
    : `${asked.tenant}\0${asked.key}\0${asked.idempotencyKey}`;
}
