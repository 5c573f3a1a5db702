import { request } from "undici";

const operatorTimeoutMilliseconds = 10_000;

/** An answer of a VM's operators' listener. */
export interface OperatorAnswer {
  readonly status: number;
  readonly document: unknown;
}

/** A VM that did not answer its operator. */
export class OperatorClientError extends Error {
  override readonly name = "OperatorClientError";
}

/**
 * Asks the operators' listener of a VM.
 *
 * @throws {OperatorClientError} when it cannot be reached.
 */
export async function askVm(
  vm: string,
  path: string,
  options: { readonly document?: unknown } = {},
): Promise<OperatorAnswer> {
  try {
    const { statusCode, body } = await request(`http://${vm}${path}`, {
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
      `the operators' listener ${vm} did not answer; give --vm IP:PORT of a running VM`,
      { cause },
    );
  }
}
