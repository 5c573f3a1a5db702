import type { IncomingMessage, ServerResponse } from "node:http";
import { BundleError, parseSignedBundle } from "@kingcupglade/bundle";
import type { BundleRecord, RollOutcome } from "@kingcupglade/ownership";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import type { Metrics } from "@kingcupglade/telemetry";
import type { ControlClient } from "../control/control_client.ts";
import { ControlUnavailableError } from "../control/errors.ts";
import type { ControlStatus } from "../control/status.ts";
import { BodyTooLargeError, readBody, sendJson } from "@kingcupglade/transport";
import type { ResolvedTls } from "../settings/tls.ts";
import { HttpListener } from "@kingcupglade/transport";

const maximumBundleBytes = 4 * 1024 * 1024;
const controlTimeoutMilliseconds = 4000;

/** Options of the operators' listener. */
export interface OperatorsListenerOptions {
  readonly address: string;
  readonly tls: ResolvedTls;
  readonly control: ControlClient;
  /** Returns the bundle that this VM uses for routing. */
  readonly bundle: () => BundleRecord | null;
  readonly metrics: Metrics;
  /** Whether the load balancer may send callers to this VM. */
  readonly isReady: () => boolean;
}

/** Opens the listener for operators, metrics and health checks. */
export function openOperatorsListener(
  options: OperatorsListenerOptions,
): Promise<HttpListener> {
  return HttpListener.open({
    name: "operators",
    tls: options.tls,
    address: options.address,
    handler: (request, response) => {
      serve(request, response, options).catch((failure) =>
        sendJson(response, statusOf(failure), {
          error: (failure as Error).message,
        })
      );
    },
  });
}

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
  options: OperatorsListenerOptions,
): Promise<void> {
  switch (`${request.method} ${request.url}`) {
    case "GET /health":
      return sendJson(response, 200, { healthy: true });
    case "GET /ready": {
      const ready = options.isReady();
      return sendJson(response, ready ? 200 : 503, { ready });
    }
    case "GET /metrics": {
      const { registry } = options.metrics;
      response.setHeader("content-type", registry.contentType);
      response.end(await registry.metrics());
      return;
    }
    case "GET /bundle":
      return sendBundle(response, options);
    case "GET /status":
      return sendJson(response, 200, await fetchStatus(options));
    case "POST /bundle":
      return await rollBundle(request, response, options);
    default:
      return sendJson(response, 404, {
        error:
          "use GET /health, /ready, /metrics, /bundle, /status or POST /bundle",
      });
  }
}

function sendBundle(
  response: ServerResponse,
  options: OperatorsListenerOptions,
): void {
  const bundle = options.bundle();
  if (!bundle) {
    return sendJson(response, 404, {
      error: "no bundle is in force on this VM",
    });
  }
  const { version, digest, signed } = bundle;
  sendJson(response, 200, { version, digest, signed });
}

async function fetchStatus(
  options: OperatorsListenerOptions,
): Promise<ControlStatus> {
  const response = await options.control.call(
    (service) => service.status({}, { timeoutMs: controlTimeoutMilliseconds }),
    controlTimeoutMilliseconds,
  );
  return decodeValue<ControlStatus>(response.status);
}

async function rollBundle(
  request: IncomingMessage,
  response: ServerResponse,
  options: OperatorsListenerOptions,
): Promise<void> {
  const body = await readBody(request, maximumBundleBytes);
  const signed = parseSignedBundle(parseJson(body));
  const rolled = await options.control.call(
    (service) =>
      service.roll({ signedBundle: encodeValue(signed) }, {
        timeoutMs: controlTimeoutMilliseconds,
      }),
    controlTimeoutMilliseconds,
  );
  const outcome = decodeValue<RollOutcome>(rolled.outcome);
  const status = { accepted: 200, conflict: 409, refused: 422 }[outcome.kind];
  sendJson(response, status, outcome);
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    throw new BundleError([{ path: "", message: "is not JSON" }]);
  }
}

function statusOf(failure: unknown): number {
  if (failure instanceof BundleError) return 400;
  if (failure instanceof BodyTooLargeError) return 413;
  return failure instanceof ControlUnavailableError ? 503 : 500;
}
