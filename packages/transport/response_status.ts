/**
 * Whether a status code is one of HTTP (RFC 9110, 15). Parsers accept other
 * numbers of three digits.
 */
export function isValidStatus(status: number): boolean {
  return status >= 100 && status <= 599;
}
