import { Transform, type TransformCallback } from 'node:stream';
import avro from 'avsc';

/**
 * What passes between the service's own processes: requests that one node makes of another, and
 * their answers, as avro records in frames of a 4-byte length.
 */
export type Kind = 'user' | 'beat' | 'notice' | 'ping' | 'hints';

export interface Ask {
  readonly id: number;
  readonly kind: Kind;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

export interface Told {
  readonly id: number;
  readonly status: number;
  readonly retryAfter: number;
  readonly body: Buffer;
}

const AskType = avro.Type.forSchema({
  type: 'record',
  name: 'Ask',
  fields: [
    { name: 'id', type: 'int' },
    {
      name: 'kind',
      type: { type: 'enum', name: 'Kind', symbols: ['user', 'beat', 'notice', 'ping', 'hints'] },
    },
    { name: 'method', type: 'string' },
    { name: 'path', type: 'string' },
    { name: 'body', type: 'bytes' },
  ],
});

const ToldType = avro.Type.forSchema({
  type: 'record',
  name: 'Told',
  fields: [
    { name: 'id', type: 'int' },
    { name: 'status', type: 'int' },
    { name: 'retryAfter', type: 'int' },
    { name: 'body', type: 'bytes' },
  ],
});

/** What a node tells of itself with each ping and its answer. */
export interface Pulse {
  /** Who leads, and under which epoch, as far as it knows; empty if it knows of nobody. */
  readonly leader: string;
  readonly epoch: number;
  /** Whether the state service served it lately. */
  readonly store: boolean;
  /** Whether workers are to report through the other nodes: the leader's word, as far as it is known. */
  readonly spread: boolean;
}

const PulseType = avro.Type.forSchema({
  type: 'record',
  name: 'Pulse',
  fields: [
    { name: 'leader', type: 'string' },
    { name: 'epoch', type: 'long' },
    { name: 'store', type: 'boolean' },
    { name: 'spread', type: 'boolean' },
  ],
});

export const encodePulse = (p: Pulse): Buffer => PulseType.toBuffer(p);

/** Undefined for anything that is not one: a node of another version may send none. */
export function decodePulse(b: Buffer): Pulse | undefined {
  try {
    return PulseType.fromBuffer(b) as Pulse;
  } catch {
    return undefined;
  }
}

export const encodeAsk = (a: Ask): Buffer => AskType.toBuffer(a);
export const decodeAsk = (b: Buffer): Ask => AskType.fromBuffer(b) as Ask;
export const encodeTold = (t: Told): Buffer => ToldType.toBuffer(t);
export const decodeTold = (b: Buffer): Told => ToldType.fromBuffer(b) as Told;

/** A body of 64 KiB and what goes around it; anything longer is not one of ours. */
const MAX_FRAME = 80 * 1024;

/** Puts a length before each chunk written. What is written in one turn leaves together. */
export class Framer extends Transform {
  private parts: Buffer[] = [];

  constructor() {
    super({ writableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    const head = Buffer.allocUnsafe(4);
    head.writeUInt32BE(chunk.length);
    if (this.parts.length === 0) setImmediate(() => this.leave());
    this.parts.push(head, chunk);
    done();
  }

  private leave(): void {
    if (this.parts.length > 0 && !this.destroyed) this.push(Buffer.concat(this.parts));
    this.parts = [];
  }

  override _flush(done: TransformCallback): void {
    this.leave();
    done();
  }
}

/** Gives back the chunks that were framed, however the bytes arrive. */
export class Deframer extends Transform {
  private held: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.held = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    while (this.held.length >= 4) {
      const size = this.held.readUInt32BE(0);
      if (size > MAX_FRAME) {
        done(new RangeError(`frame of ${size} bytes`));
        return;
      }
      if (this.held.length < 4 + size) break;
      this.push(this.held.subarray(4, 4 + size));
      this.held = this.held.subarray(4 + size);
    }
    done();
  }
}
