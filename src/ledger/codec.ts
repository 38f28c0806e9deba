import * as z from 'zod';
import { JobSpec } from '../wire/index.js';
import type { JobId } from '../units/index.js';
import {
  Attempt,
  MachineId,
  WallMs,
  type Epoch,
  type Revision,
  type SteadyMs,
} from '../units/index.js';
import { Job, type Final } from './job.js';
import { Ranges } from './ranges.js';

/**
 * Records in the state service. `live/<id>` holds the job and what its tasks do, as ranges:
 * `w` waiting, `p` placed ([from, to, attempt, position in `m`]); the rest is done. `d` says how
 * many those are, so that a lost range can never pass for finished work.
 */
export const FORMAT = 1;
export const liveKey = (id: JobId): string => `live/${id}`;
export const doneKey = (id: JobId): string => `done/${id}`;
export const LIVE_PREFIX = 'live/';

const count = z.number().int().nonnegative();

const Live = z.object({
  f: z.literal(FORMAT),
  s: JobSpec,
  t: z.number(),
  x: z.boolean().optional(),
  z: z.string().optional(),
  n: count,
  d: count,
  w: z.array(z.tuple([count, count])),
  m: z.array(z.string()),
  p: z.array(z.tuple([count, count, count, count])),
  e: count,
  v: count,
});
type Live = z.infer<typeof Live>;

const Done = z.object({
  f: z.literal(FORMAT),
  s: z.enum(['done', 'aborted']),
  n: count,
  d: count,
  desk: z.string(),
  why: z.string(),
});

export class RecordError extends Error {}

export function encodeJob(job: Job, epoch: Epoch): Live {
  const machines: string[] = [];
  const position = new Map<MachineId, number>();
  const placed: [number, number, number, number][] = [];
  for (const [index, p] of [...job.placed].sort((a, b) => a[0] - b[0])) {
    let m = position.get(p.machine);
    if (m === undefined) {
      m = machines.push(p.machine) - 1;
      position.set(p.machine, m);
    }
    const last = placed.at(-1);
    if (last && last[1] === index && last[2] === p.attempt && last[3] === m) last[1] = index + 1;
    else placed.push([index, index + 1, p.attempt, m]);
  }
  return {
    f: FORMAT,
    s: job.spec,
    t: job.submitted,
    ...(job.aborted ? { x: true } : {}),
    ...(job.zone === undefined ? {} : { z: job.zone }),
    n: job.nextAttempt,
    d: job.doneCount,
    w: job.waiting.list(),
    m: machines,
    p: placed,
    e: epoch,
    v: job.version,
  };
}

/** Which leader's which version a record is: tells our own late write from another's. */
export interface Mark {
  readonly epoch: number;
  readonly version: number;
}

export function markOf(data: unknown): Mark | undefined {
  const parsed = z.object({ e: count, v: count }).safeParse(data);
  return parsed.success ? { epoch: parsed.data.e, version: parsed.data.v } : undefined;
}

export function decodeJob(id: JobId, data: unknown, revision: Revision, now: SteadyMs): Job {
  const parsed = Live.safeParse(data);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new RecordError(
      `record of ${id}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`,
    );
  }
  const r = parsed.data;
  const job = new Job(id, r.s, WallMs(r.t), revision, Ranges.of(r.w));
  job.aborted = r.x ?? false;
  job.zone = r.z;
  job.nextAttempt = Attempt(r.n);
  for (const [from, to, attempt, m] of r.p) {
    const machine = r.m[m];
    if (machine === undefined) throw new RecordError(`record of ${id}: p names no machine`);
    for (let i = from; i < to; i++) {
      if (job.waiting.has(i) || job.placed.has(i)) {
        throw new RecordError(`record of ${id}: task ${i} is in two states`);
      }
      job.placed.set(i, {
        machine: MachineId(machine),
        attempt: Attempt(attempt),
        version: 0,
        inherited: true,
        at: now,
        seen: false,
        pushed: false,
        stopped: false,
      });
    }
  }
  if (job.placed.size > 0) job.lastPlaced = now;
  // A range that went missing would read as finished work.
  if (job.doneCount !== r.d) throw new RecordError(`record of ${id}: d says ${r.d} done`);
  job.version = 1;
  job.committed = 1;
  job.shown = { aborted: job.aborted, done: job.doneCount, running: job.placed.size };
  return job;
}

export function encodeFinal(f: Final): z.infer<typeof Done> {
  return { f: FORMAT, s: f.status, n: f.entries, d: f.done, desk: f.desk, why: f.cause };
}

export function decodeFinal(data: unknown): Final {
  const parsed = Done.safeParse(data);
  if (!parsed.success) throw new RecordError('unreadable final record');
  const r = parsed.data;
  return { status: r.s, entries: r.n, done: r.d, desk: r.desk, cause: r.why };
}

/** The size as the state service counts it. */
export const sizeOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** What one more open task can add to a record at worst: its own range, and a waiting one beside. */
export const BYTES_PER_OPEN_TASK = 40;
const MACHINE_BYTES = 24;

/**
 * How many tasks of a job may be open below its highest placed one, so that its record fits
 * however they end. Placing lowest indexes first keeps everything above in a single range.
 */
export function openTaskLimit(spec: JobSpec, valueBytes: number): number {
  const room = valueBytes * 0.95 - sizeOf(spec) - 160;
  return Math.max(1, Math.floor(room / (BYTES_PER_OPEN_TASK + MACHINE_BYTES / 2)));
}
