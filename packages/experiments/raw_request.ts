import { connect } from "node:net";

/** The data received on a connection until it was closed. */
export interface RawResponse {
  /** Status of each response, in order; empty if there was none. */
  readonly statuses: readonly number[];
  readonly text: string;
}

/** Sends raw bytes, ends the connection and returns what was received. */
export function sendRaw(address: string, bytes: Buffer): Promise<RawResponse> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = connect({ host: host!, port: Number(port) });
    socket.on("data", (chunk) => chunks.push(chunk));
    // A reset is a valid rejection; data received before it is returned.
    socket.on("error", () => {});
    socket.on("close", () => {
      const text = Buffer.concat(chunks).toString("latin1");
      const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(
        ([, status]) => Number(status),
      );
      resolve({ statuses, text });
    });
    socket.end(bytes);
  });
}
