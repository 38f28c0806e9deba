/** CBOR, the encoding of all messages to and from controllers. */
import { Encoder, type Options } from 'cbor-x';

/** The largest body of a message, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;
/** The media type of every body. */
export const CONTENT_TYPE = 'application/cbor';

/** `int64AsNumber` is an option of the library that its types leave out. */
const options: Options & { int64AsNumber: boolean } = {
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
  int64AsNumber: true,
};
const cbor = new Encoder(options);

/**
 * cbor-x writes integers of more than 32 bits as floats; the protocol's counts, versions and
 * tokens are integers, so those leave as 64-bit integers.
 */
function widen(value: unknown): unknown {
  if (typeof value === 'number') {
    return Number.isSafeInteger(value) && Math.abs(value) > 0x7fffffff ? BigInt(value) : value;
  }
  if (Array.isArray(value)) return value.map(widen);
  if (value !== null && typeof value === 'object') {
    const widened: Record<string, unknown> = {};
    for (const [key, field] of Object.entries(value)) {
      if (field !== undefined) widened[key] = widen(field);
    }
    return widened;
  }
  return value;
}

/** One CBOR item. Fields that are undefined are left out. */
export const encode = (value: unknown): Buffer => cbor.encode(widen(value));

/** The value of one CBOR item, with maps as plain objects. Throws on anything that is not exactly one item. */
export const decode = (bytes: Uint8Array): unknown => cbor.decode(bytes);

/** Whether a decoded value is a map. */
export function isMap(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
  );
}
