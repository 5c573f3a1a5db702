import { SimulatorPath } from "@kingcupglade/platform";

const responseTimeoutMilliseconds = 1000;

/** Response of a control VM; the status is 0 if it was unavailable. */
export interface ControlResponse {
  readonly status: number;
  readonly body: string;
}

/** Sends a request to a control VM, by default for the configuration. */
export async function callControl(
  address: string,
  request: {
    readonly method: string;
    readonly path?: string;
    readonly body?: string | undefined;
    /** @default 1000 */
    readonly timeoutMilliseconds?: number;
  },
): Promise<ControlResponse> {
  const {
    method,
    path = SimulatorPath.configuration,
    body,
    timeoutMilliseconds = responseTimeoutMilliseconds,
  } = request;
  try {
    const response = await fetch(
      `http://${address}${path}`,
      {
        method,
        signal: AbortSignal.timeout(timeoutMilliseconds),
        ...(body !== undefined && { body }),
      },
    );
    return { status: response.status, body: await response.text() };
  } catch {
    return { status: 0, body: "" };
  }
}
