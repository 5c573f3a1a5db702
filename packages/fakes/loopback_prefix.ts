const firstOctet = 33;
const octets = 200;

/**
 * The first three numbers of loopback addresses that no other process of the
 * machine uses in its tests, such as `127.40.7`.
 */
export function loopbackPrefix(processId = process.pid): string {
  const second = firstOctet + processId % octets;
  const third = Math.floor(processId / octets) % octets;
  return `127.${second}.${third}`;
}
