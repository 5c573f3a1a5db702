import { request } from "undici";
import type { ControlStatus } from "../control/status.ts";

const operatorTimeoutMilliseconds = 10_000;

/** Response of a VM's operators' listener. */
export interface OperatorResponse {
  readonly status: number;
  readonly document: unknown;
}

/** A VM or the control leader did not respond to an operator's request. */
export class OperatorClientError extends Error {
  override readonly name = "OperatorClientError";
}

/**
 * Sends a request to the operators' listener of a VM.
 *
 * @throws {OperatorClientError} when it cannot be reached.
 */
export async function requestVm(
  vm: string,
  path: string,
  options: { readonly document?: unknown } = {},
): Promise<OperatorResponse> {
  try {
    const { statusCode, body } = await request(`${toOrigin(vm)}${path}`, {
      method: options.document === undefined ? "GET" : "POST",
      body: options.document === undefined
        ? null
        : JSON.stringify(options.document),
      headersTimeout: operatorTimeoutMilliseconds,
      bodyTimeout: operatorTimeoutMilliseconds,
    });
    return { status: statusCode, document: await body.json() };
  } catch (cause) {
    throw new OperatorClientError(
      `the operators' listener ${vm} did not answer; specify --vm IP:PORT of a running VM`,
      { cause },
    );
  }
}

/**
 * Requests the state of the deployment from the control leader, through a VM.
 *
 * @throws {OperatorClientError} when the VM or the leader does not respond.
 */
export async function fetchStatus(vm: string): Promise<ControlStatus> {
  const { status, document } = await requestVm(vm, "/status");
  if (status === 200) return document as ControlStatus;
  const { error } = document as { error?: string };
  throw new OperatorClientError(
    `no control leader answered through ${vm}: ${
      error ?? `status ${status}`
    }; see "Lost quorum" in docs/operating/control_log.md`,
  );
}

/** Returns the origin: HTTP for IP:PORT, TLS for `https://IP:PORT`. */
function toOrigin(vm: string): string {
  return vm.startsWith("https://") ? vm : `http://${vm}`;
}
