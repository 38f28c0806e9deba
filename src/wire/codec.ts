/** CBOR encoding of messages between controllers and users, workers, the cloud and the state store. */
import { Encoder, type Options } from 'cbor-x';

/** The largest body of a message, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;
/** The media type of every body. */
export const CONTENT_TYPE = 'application/cbor';

/** The type declarations of the library lack its option `int64AsNumber`. */
const options: Options & { int64AsNumber: boolean } = {
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
  int64AsNumber: true,
};
const cbor = new Encoder(options);

/**
 * Converts integers of more than 32 bits to `bigint`. cbor-x would encode them as floats, while the protocol requires
 * integers for counts, versions and tokens; a `bigint` is encoded as a 64-bit integer.
 */
function widenIntegers(value: unknown): unknown {
  if (typeof value === 'number') {
    return Number.isSafeInteger(value) && Math.abs(value) > 0x7fffffff ? BigInt(value) : value;
  }
  if (Array.isArray(value)) return value.map(widenIntegers);
  if (value !== null && typeof value === 'object') {
    const widened: Record<string, unknown> = {};
    for (const [key, field] of Object.entries(value)) {
      if (field !== undefined) widened[key] = widenIntegers(field);
    }
    return widened;
  }
  return value;
}

/** Encodes a value as one CBOR item. Fields that are undefined are left out. */
export const encode = (value: unknown): Buffer => cbor.encode(widenIntegers(value));

/** Decodes one CBOR item, with maps as plain objects. Throws if the bytes are not exactly one item. */
export const decode = (bytes: Uint8Array): unknown => cbor.decode(bytes);

/** Decodes one CBOR item; undefined if the bytes are not exactly one item. */
export function decodeOrUndefined(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
}

/** Whether a decoded value is a map. */
export function isMap(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
  );
}
