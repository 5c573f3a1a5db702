import { decode, encode } from "@msgpack/msgpack";

/** Thrown when bytes from another process cannot be decoded. */
export class WireError extends Error {
  override readonly name = "WireError";
}

/** Encodes a plain value as MessagePack. */
export function encodeValue(value: unknown): Uint8Array<ArrayBuffer> {
  return encode(value, { ignoreUndefined: true });
}

/**
 * Decodes a MessagePack value from another VM. The type is not checked, because
 * the sender runs the same release.
 *
 * @throws {WireError} when the bytes are not exactly one value.
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
