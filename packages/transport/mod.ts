/**
 * HTTP listeners, bodies, and calls between VMs.
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
export { HttpListener, ListenError, splitAddress } from "./http_listener.ts";
export type { HttpListenerOptions, ListenerTls } from "./http_listener.ts";
export { createLeanClient, PeerCallError } from "./lean_client.ts";
export type { LeanClientOptions } from "./lean_client.ts";
export { LeanServices } from "./lean_services.ts";
export type { ServiceRegistry } from "./lean_services.ts";
export { Readiness } from "./readiness.ts";
export { presentsSecret } from "./secret.ts";
