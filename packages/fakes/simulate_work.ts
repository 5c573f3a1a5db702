import type { ServerResponse } from "node:http";

/**
 * Waits for a duration in milliseconds, or until the response is closed;
 * returns whether it was closed first.
 */
export function simulateWork(
  milliseconds: number,
  options: { readonly cancelledBy: ServerResponse | undefined },
): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), milliseconds);
    options.cancelledBy?.once("close", () => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}
