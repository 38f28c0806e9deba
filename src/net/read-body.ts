/** Reads bodies of requests and responses up to a size limit. */
import type { Readable } from 'node:stream';

/** A body of more than this many times its limit is not read to its end. */
const ABORT_LIMIT_FACTOR = 16;

/**
 * Reads a body of at most `limit` bytes; undefined if it was longer. The excess is read and discarded, so that the
 * sender can still receive a response. A body of more than `ABORT_LIMIT_FACTOR` times the limit destroys the stream.
 * Rejects if the stream fails or closes before its end. It uses stream events directly, since the abort signal of
 * a pipeline costs more than all other work on a heartbeat.
 */
export function readBody(from: Readable, limit: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onClose = (): void => reject(new Error('stream closed before the end of the body'));
    from.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > ABORT_LIMIT_FACTOR * limit)
        from.destroy(new RangeError('body far exceeds its size limit'));
      else if (size > limit) chunks.length = 0;
      else chunks.push(chunk);
    });
    from.on('end', () => {
      // The close event that follows is expected, and creating an unused error costs more than reading the body.
      from.off('close', onClose);
      if (size > limit) resolve(undefined);
      else resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
    });
    from.on('error', reject);
    from.on('close', onClose);
  });
}
