/** Bodies of requests and answers, read within a limit. */
import type { Readable } from 'node:stream';

/** A body so many times over its limit is not read to its end. */
const ABORT_FACTOR = 16;

/**
 * A body of at most `limit` bytes; undefined if it was longer. What goes beyond is read and dropped, so that the
 * sender can still be answered; a body many times too long ends the stream. Rejects if the stream fails or is
 * closed before its end. Listens to the stream itself: a pipeline's abort signal costs more than all else that a
 * heartbeat takes.
 */
export function readBody(from: Readable, limit: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const onClose = (): void => reject(new Error('closed before its end'));
    from.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > ABORT_FACTOR * limit) from.destroy(new RangeError('body far too large'));
      else if (size > limit) parts.length = 0;
      else parts.push(chunk);
    });
    from.on('end', () => {
      // The close that follows is expected, and an error made for nothing costs more than the body.
      from.off('close', onClose);
      if (size > limit) resolve(undefined);
      else resolve(parts.length === 1 ? parts[0] : Buffer.concat(parts));
    });
    from.on('error', reject);
    from.on('close', onClose);
  });
}
