import { isIPv4, isIPv6 } from "node:net";
import { z } from "zod";

/** Name of a VM, a data centre or a region. */
export const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be 1 to 63 lower-case letters, digits or hyphens",
);

const maximumPort = 65_535;

/** Address as IP:PORT. */
export const socketAddress = z.string().refine(
  isSocketAddress,
  "must be IP:PORT, such as 127.0.0.1:8100 or [::1]:8100",
);

function isSocketAddress(text: string): boolean {
  const [, host = "", port = ""] = /^(.+):(\d{1,5})$/.exec(text) ?? [];
  const isPort = Number(port) >= 1 && Number(port) <= maximumPort;
  const isBracketed = host.startsWith("[") && host.endsWith("]");
  return isPort && (isBracketed ? isIPv6(host.slice(1, -1)) : isIPv4(host));
}

/** An integer within inclusive bounds. */
export function integer(minimum: number, maximum: number) {
  return z.coerce.number().int().min(minimum).max(maximum);
}

/** Splits a comma-separated list; empty parts are ignored. */
export function splitList(text: string): readonly string[] {
  return text.split(",").map((part) => part.trim()).filter((part) =>
    part !== ""
  );
}

/** One or more IP:PORT addresses, separated by commas. */
export const addressList = z.string().transform((text) => [...splitList(text)])
  .pipe(z.array(socketAddress).min(1));
