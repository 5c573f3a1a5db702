const lowestSecondOctet = 33;
const octetValueCount = 200;

/**
 * Returns the first three octets of loopback addresses, such as `127.40.7`.
 * They derive from the process ID, so that test processes use different ones.
 */
export function loopbackPrefix(processId = process.pid): string {
  const second = lowestSecondOctet + processId % octetValueCount;
  const third = Math.floor(processId / octetValueCount) % octetValueCount;
  return `127.${second}.${third}`;
}
