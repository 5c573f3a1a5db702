import type { EventOf } from "../events.ts";

/**
 * Identifies the operation of a request. Requests with the same tenant, key and
 * Idempotency-Key are one operation; a request without an Idempotency-Key is an
 * operation of its own.
 */
export function operationOf(request: EventOf<"requestSent">): string {
  return request.idempotencyKey === ""
    ? request.request
    : `${request.tenant}\0${request.key}\0${request.idempotencyKey}`;
}
