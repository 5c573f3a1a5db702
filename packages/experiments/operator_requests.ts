import type { SignedBundle } from "@kingcupglade/bundle";
import type { ControlStatus } from "kingcupglade";
import { request } from "undici";

/**
 * Sends a signed bundle to an operators' listener; returns the response status.
 */
export async function postBundle(
  address: string,
  signed: SignedBundle,
): Promise<number> {
  const { statusCode, body } = await request(`http://${address}/bundle`, {
    method: "POST",
    body: JSON.stringify(signed),
  });
  await body.dump();
  return statusCode;
}

/** Requests the control leader's status of the deployment through a VM. */
export async function readStatus(address: string): Promise<ControlStatus> {
  const { statusCode, body } = await request(`http://${address}/status`);
  const document = await body.json();
  if (statusCode !== 200) throw new Error(JSON.stringify(document));
  return document as ControlStatus;
}

/** Whether a VM reports to the load balancer that it accepts callers. */
export async function isReady(address: string): Promise<boolean> {
  const { statusCode, body } = await request(`http://${address}/ready`);
  await body.dump();
  return statusCode === 200;
}
