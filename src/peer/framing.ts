/** Length-prefixed frames on the connections between controllers. */
import { Transform, type TransformCallback } from 'node:stream';

/** Above the size of the largest message: the responses to a batch of heartbeats, with many commands. */
export const MAX_FRAME_BYTES = 192 * 1024;
const LENGTH_PREFIX_BYTES = 4;

/** Prefixes each chunk with its length. Chunks written in one turn of the event loop are sent together. */
export class FrameEncoder extends Transform {
  private pendingChunks: Buffer[] = [];

  constructor() {
    super({ writableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    const prefix = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES);
    prefix.writeUInt32BE(chunk.length);
    if (this.pendingChunks.length === 0) setImmediate(() => this.pushPendingChunks());
    this.pendingChunks.push(prefix, chunk);
    done();
  }

  private pushPendingChunks(): void {
    if (this.pendingChunks.length > 0 && !this.destroyed)
      this.push(Buffer.concat(this.pendingChunks));
    this.pendingChunks = [];
  }

  override _flush(done: TransformCallback): void {
    this.pushPendingChunks();
    done();
  }
}

/** Restores the framed chunks, however the bytes are split on arrival. Fails on a frame over the size limit. */
export class FrameDecoder extends Transform {
  private received: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.received = this.received.length === 0 ? chunk : Buffer.concat([this.received, chunk]);
    while (this.received.length >= LENGTH_PREFIX_BYTES) {
      const size = this.received.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) {
        done(new RangeError(`peer sent a frame over the size limit: ${size} bytes`));
        return;
      }
      const end = LENGTH_PREFIX_BYTES + size;
      if (this.received.length < end) break;
      this.push(this.received.subarray(LENGTH_PREFIX_BYTES, end));
      this.received = this.received.subarray(end);
    }
    done();
  }
}
