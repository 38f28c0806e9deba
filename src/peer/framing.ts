/** Length-prefixed frames on the connections between controllers. */
import { Transform, type TransformCallback } from 'node:stream';

/** More than the longest message that a controller sends: the responses to a batch of heartbeats, with many commands. */
export const MAX_FRAME_BYTES = 192 * 1024;
const LENGTH_BYTES = 4;

/** Puts a length before each chunk written. Chunks written in one turn of the event loop leave as one packet. */
export class FrameEncoder extends Transform {
  private parts: Buffer[] = [];

  constructor() {
    super({ writableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    const prefix = Buffer.allocUnsafe(LENGTH_BYTES);
    prefix.writeUInt32BE(chunk.length);
    if (this.parts.length === 0) setImmediate(() => this.pushParts());
    this.parts.push(prefix, chunk);
    done();
  }

  private pushParts(): void {
    if (this.parts.length > 0 && !this.destroyed) this.push(Buffer.concat(this.parts));
    this.parts = [];
  }

  override _flush(done: TransformCallback): void {
    this.pushParts();
    done();
  }
}

/** Restores the chunks that were framed, however the bytes arrive. Fails on a frame over the limit. */
export class FrameDecoder extends Transform {
  private received: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.received = this.received.length === 0 ? chunk : Buffer.concat([this.received, chunk]);
    while (this.received.length >= LENGTH_BYTES) {
      const size = this.received.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) {
        done(new RangeError(`frame of ${size} bytes`));
        return;
      }
      const end = LENGTH_BYTES + size;
      if (this.received.length < end) break;
      this.push(this.received.subarray(LENGTH_BYTES, end));
      this.received = this.received.subarray(end);
    }
    done();
  }
}
