import { Encoder, type Options } from 'cbor-x';

/** Bodies above this size are refused in both directions. */
export const MAX_BODY = 64 * 1024;
export const CONTENT_TYPE = 'application/cbor';

/** The option is the library's, though its types leave it out. */
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
    const out: Record<string, unknown> = {};
    for (const [k, v] of Object.entries(value)) if (v !== undefined) out[k] = widen(v);
    return out;
  }
  return value;
}

export const encode = (value: unknown): Buffer => cbor.encode(widen(value));

/** Throws on anything that is not exactly one CBOR item. */
export const decode = (bytes: Uint8Array): unknown => cbor.decode(bytes);

export function isMap(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
  );
}
