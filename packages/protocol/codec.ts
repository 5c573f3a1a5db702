import { decode, encode } from "@msgpack/msgpack";

/** Bytes from another process that cannot be decoded. */
export class WireError extends Error {
  override readonly name = "WireError";
}

/** Encodes a plain value as MessagePack. */
export function encodeValue(value: unknown): Uint8Array<ArrayBuffer> {
  return encode(value, { ignoreUndefined: true });
}

/**
 * Decodes a value of another VM of the same release.
 *
 * @throws {WireError} when the bytes are no whole value.
 */
export function decodeValue<Value>(bytes: Uint8Array): Value {
  try {
    return decode(bytes) as Value;
  } catch (cause) {
    throw new WireError("a message from another VM cannot be decoded", {
      cause,
    });
  }
}
