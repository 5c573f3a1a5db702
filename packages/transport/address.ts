import { isIP } from "node:net";
import { splitAddress } from "./listener_server.ts";

const maximumPort = 65_535;

/** Whether a text is an IP address and a port that can be connected to. */
export function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return isIP(host) !== 0 && /:[1-9]\d{0,4}$/.test(text) && port <= maximumPort;
}
