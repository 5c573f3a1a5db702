import { timingSafeEqual } from "node:crypto";

/** Whether an Authorization header carries the secret as its bearer token. */
export function presentsSecret(
  authorization: string | null | undefined,
  secret: string,
): boolean {
  const expected = Buffer.from(`Bearer ${secret}`);
  const given = Buffer.from(authorization ?? "");
  return given.length === expected.length && timingSafeEqual(given, expected);
}
