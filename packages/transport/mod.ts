/**
 * HTTP listeners and bodies, readiness checks, and unary calls between VMs.
 *
 * @module
 */
export {
  BodyTooLargeError,
  hasBody,
  readBody,
  RequestBody,
  sendJson,
} from "./body.ts";
export type { RequestBodyOptions } from "./body.ts";
export { BodyMemory, BodyMemoryError } from "./body_memory.ts";
export type { BodyReservation } from "./body_memory.ts";
export {
  hasCallerLeft,
  nextTurn,
  onExchangeEnd,
  waitForClose,
} from "./caller_connection.ts";
export { isAddress } from "./address.ts";
export { heldMilliseconds, HeldRequests } from "./held_requests.ts";
export { HttpListener, ListenError } from "./http_listener.ts";
export type {
  HttpListenerOptions,
  ListenerCloseResult,
  UnreadableRequest,
} from "./http_listener.ts";
export { splitAddress } from "./listener_server.ts";
export type { ListenerTls } from "./listener_server.ts";
export { isValidStatus } from "./response_status.ts";
export { PipelineLimits } from "./pipeline_limits.ts";
export type {
  PipelineLimitsOptions,
  PipelineObserver,
  PipelineWait,
} from "./pipeline_limits.ts";
export { closeAfterBody } from "./pipelined_response.ts";
export { PeerPool } from "./peer_pool.ts";
export { createUnaryClient, PeerCallError } from "./unary_client.ts";
export type { UnaryClientOptions } from "./unary_client.ts";
export { UnaryServices } from "./unary_services.ts";
export type { ServiceRegistry } from "./unary_services.ts";
export { Readiness } from "./readiness.ts";
export { presentsSecret } from "./secret.ts";
export { CopyDetector } from "./copy_detector.ts";
export { FramingBudget } from "./framing_budget.ts";
export type { ReadBody } from "./framing_budget.ts";
export { PartCollector } from "./part_collector.ts";
export {
  createResettingClient,
  resetIfUnanswered,
} from "./unanswered_reset.ts";
