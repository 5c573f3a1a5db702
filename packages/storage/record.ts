import { crc32 } from "node:zlib";

/** Starts each record; the bytes of "KCG1", stored in little-endian order. */
const recordMarker = 0x4b434731;
/** Size of the header: marker, payload length and CRC-32, four bytes each. */
export const recordHeaderBytes = 12;
/** A header with a greater payload length is treated as damaged. */
const maximumPayloadBytes = 256 * 1024 * 1024;

/** Encodes a payload as a record with a marker, its length and its checksum. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(recordHeaderBytes + payload.length);
  record.writeUInt32LE(recordMarker, 0);
  record.writeUInt32LE(payload.length, 4);
  record.writeUInt32LE(crc32(payload), 8);
  record.set(payload, recordHeaderBytes);
  return record;
}

/** Returns the payload of the record at `offset`, or null if it is invalid. */
export function readRecord(bytes: Buffer, offset: number): Buffer | null {
  if (offset + recordHeaderBytes > bytes.length) return null;
  if (bytes.readUInt32LE(offset) !== recordMarker) return null;
  const length = bytes.readUInt32LE(offset + 4);
  const end = offset + recordHeaderBytes + length;
  if (length > maximumPayloadBytes || end > bytes.length) return null;
  const payload = bytes.subarray(offset + recordHeaderBytes, end);
  return crc32(payload) === bytes.readUInt32LE(offset + 8) ? payload : null;
}

/** Whether a valid record starts anywhere after `offset`. */
export function hasRecordAfter(bytes: Buffer, offset: number): boolean {
  const pattern = Buffer.alloc(4);
  pattern.writeUInt32LE(recordMarker, 0);
  let position = bytes.indexOf(pattern, offset + 1);
  while (position >= 0) {
    if (readRecord(bytes, position)) return true;
    position = bytes.indexOf(pattern, position + 1);
  }
  return false;
}
