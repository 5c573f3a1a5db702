import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeValue, encodeValue, WireError } from "@kingcupglade/protocol";

/** Encoding of a message, stored in its first byte. */
const Encoding = { plain: 0, deflated: 1 } as const;

/** Minimum size to deflate; shorter messages gain nothing from it. */
const minimumDeflatedBytes = 300;
/** Low, as fields repeat so often that more effort saves little. */
const deflateLevel = 3;
const maximumMessageBytes = 64 * 1024 * 1024;

/** Encodes a plain value, and deflates it if it is long. */
export function packValue(value: unknown): Uint8Array<ArrayBuffer> {
  const plain = encodeValue(value);
  const isLong = plain.length >= minimumDeflatedBytes;
  const body = isLong ? deflateRawSync(plain, { level: deflateLevel }) : plain;
  const bytes = new Uint8Array(body.length + 1);
  bytes[0] = isLong ? Encoding.deflated : Encoding.plain;
  bytes.set(body, 1);
  return bytes;
}

/**
 * Decodes a value sent by another VM of the same release.
 *
 * @throws {WireError} when the bytes are not a complete value.
 */
export function unpackValue<Value>(bytes: Uint8Array): Value {
  const body = bytes.subarray(1);
  switch (bytes[0]) {
    case Encoding.plain:
      return decodeValue(body);
    case Encoding.deflated:
      return decodeValue(inflate(body));
    default:
      throw new WireError("message of another VM has an unknown encoding");
  }
}

function inflate(body: Uint8Array): Uint8Array {
  try {
    return inflateRawSync(body, { maxOutputLength: maximumMessageBytes });
  } catch (cause) {
    throw new WireError("message of another VM cannot be inflated", {
      cause,
    });
  }
}
