import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { Logger } from "@kingcupglade/telemetry";
import { splitAddress } from "@kingcupglade/transport";

const probeIntervalMilliseconds = 100;
/** A listener on this machine accepts a connection within this time. */
const probeTimeoutMilliseconds = 250;

/** Options of {@link waitForAddresses}. */
export interface AddressWaitOptions {
  /** Addresses to listen on, as IP:PORT. */
  readonly addresses: readonly string[];
  readonly maximumMilliseconds: number;
  /** Ends the wait. */
  readonly stopping: AbortSignal;
  readonly logger: Logger;
}

/**
 * Waits while another process listens on one of the addresses, as the one before
 * it does until it has stopped. Resolves without an error if the time is up: who
 * opens the listeners then reports the address.
 */
export async function waitForAddresses(
  options: AddressWaitOptions,
): Promise<void> {
  const { addresses, maximumMilliseconds, stopping, logger } = options;
  const startedAt = performance.now();
  let address = await findUsedAddress(addresses);
  if (address === undefined) return;
  logger.warn("address-in-use", { address, maximumMilliseconds });
  while (
    address !== undefined && !stopping.aborted &&
    performance.now() - startedAt < maximumMilliseconds
  ) {
    await pause(probeIntervalMilliseconds);
    address = await findUsedAddress(addresses);
  }
  if (address !== undefined) return;
  logger.info("addresses-free", {
    milliseconds: Math.round(performance.now() - startedAt),
  });
}

async function findUsedAddress(
  addresses: readonly string[],
): Promise<string | undefined> {
  const used = await Promise.all(addresses.map(isListening));
  return addresses.find((_, index) => used[index]);
}

/** Whether a process accepts connections at the address. */
async function isListening(address: string): Promise<boolean> {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port });
  const timeout = setTimeout(() => socket.destroy(), probeTimeoutMilliseconds);
  try {
    return await new Promise<boolean>((resolve) => {
      socket.once("connect", () => {
        // TCP connects a socket to itself if both ports are the same by chance.
        resolve(socket.localPort !== socket.remotePort);
      });
      // Without a connection nothing is known; opening the listener tells.
      socket.once("error", () => resolve(false));
      socket.once("close", () => resolve(false));
    });
  } finally {
    clearTimeout(timeout);
    socket.destroy();
  }
}
