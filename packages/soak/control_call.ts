import { SimulatorPath } from "@kingcupglade/platform";

const responseTimeoutMilliseconds = 1000;

/** Response of a control VM; the status is 0 if it was unavailable. */
export interface ControlResponse {
  readonly status: number;
  readonly body: string;
}

/** Sends a request for the configuration to a control VM. */
export async function callControl(
  address: string,
  request: {
    readonly method: string;
    readonly body?: string | undefined;
    /** @default 1000 */
    readonly timeoutMilliseconds?: number;
  },
): Promise<ControlResponse> {
  const {
    method,
    body,
    timeoutMilliseconds = responseTimeoutMilliseconds,
  } = request;
  try {
    const response = await fetch(
      `http://${address}${SimulatorPath.configuration}`,
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
