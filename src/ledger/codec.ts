import * as z from 'zod';
import {
  JobStatus,
  SubmissionMessage,
  TEAM_FIELD,
  decodeJobSpec,
  encodeJobSpec,
  encodeJobSpecValues,
  type JobSpec,
} from '../wire/index.js';
import type { JobId } from '../units/index.js';
import {
  Attempt,
  MachineId,
  WallMs,
  type Epoch,
  type Revision,
  type SteadyMs,
} from '../units/index.js';
import {
  COMPACT_FORMAT,
  decodeCompact,
  encodeCompact,
  type CompactRecord,
} from './compact-record.js';
import { Job, type Final } from './job.js';
import { Ranges } from './ranges.js';
import { RecordError, placedRuns, type JobFacts } from './record.js';

/**
 * Records in the state service. `live/<id>` holds the job and what its tasks do, as ranges:
 * `w` waiting, `p` placed ([from, to, attempt, position in `m`]); the rest is done. `d` says how
 * many those are, so that a lost range can never pass for finished work.
 */
export const FORMAT = 1;
export const liveKey = (id: JobId): string => `live/${id}`;
export const doneKey = (id: JobId): string => `done/${id}`;
export const LIVE_PREFIX = 'live/';
/** Its revision is the epoch of the leader that it names. */
export const LEADER_KEY = 'leader';

const count = z.number().int().nonnegative();

const Live = z.object({
  f: z.literal(FORMAT),
  s: SubmissionMessage,
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
  s: z.enum([JobStatus.done, JobStatus.cancelled]),
  n: count,
  d: count,
  [TEAM_FIELD]: z.string(),
  why: z.string(),
});

export function encodeJob(job: Job, epoch: Epoch): Live {
  const machines: string[] = [];
  const position = new Map<MachineId, number>();
  const placed = placedRuns(job).map((run): [number, number, number, number] => {
    let m = position.get(run.machine);
    if (m === undefined) {
      m = machines.push(run.machine) - 1;
      position.set(run.machine, m);
    }
    return [run.from, run.to, run.attempt, m];
  });
  return {
    f: FORMAT,
    s: encodeJobSpec(job.spec),
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

/** The record in the format that takes least room. */
export const encodeJobCompactly = (job: Job, epoch: Epoch): CompactRecord =>
  encodeCompact(job, placedRuns(job), epoch);

/** Which leader's which version a record is: tells our own late write from another's. */
export interface Mark {
  readonly epoch: number;
  readonly version: number;
}

export function markOf(data: unknown): Mark | undefined {
  const parsed = z.object({ e: count, v: count }).safeParse(data);
  return parsed.success ? { epoch: parsed.data.e, version: parsed.data.v } : undefined;
}

/** Whether a record is in the format that versions before this one can't read. */
export const isCompact = (data: unknown): boolean =>
  z.object({ f: z.literal(COMPACT_FORMAT) }).safeParse(data).success;

function factsOf(id: JobId, data: unknown): JobFacts {
  if (isCompact(data)) return decodeCompact(id, data);
  const r = Live.parse(data);
  return {
    spec: decodeJobSpec(r.s),
    submitted: r.t,
    aborted: r.x ?? false,
    zone: r.z,
    nextAttempt: r.n,
    done: r.d,
    waiting: r.w,
    placed: r.p.map(([from, to, attempt, m]) => {
      const machine = r.m[m];
      if (machine === undefined) throw new RecordError('p names no machine');
      return { from, to, attempt: Attempt(attempt), machine: MachineId(machine) };
    }),
  };
}

export function decodeJob(id: JobId, data: unknown, revision: Revision, now: SteadyMs): Job {
  try {
    return jobFrom(id, factsOf(id, data), revision, now);
  } catch (e) {
    const issue = e instanceof z.ZodError ? e.issues[0] : undefined;
    const why = issue ? `${issue.path.join('.')}: ${issue.message}` : (e as Error).message;
    throw new RecordError(`record of ${id}: ${why}`);
  }
}

function jobFrom(id: JobId, facts: JobFacts, revision: Revision, now: SteadyMs): Job {
  const job = new Job(id, facts.spec, WallMs(facts.submitted), revision, Ranges.of(facts.waiting));
  job.aborted = facts.aborted;
  job.zone = facts.zone;
  job.nextAttempt = Attempt(facts.nextAttempt);
  for (const { from, to, attempt, machine } of facts.placed) {
    for (let i = from; i < to; i++) {
      if (job.waiting.has(i) || job.placed.has(i)) {
        throw new RecordError(`task ${i} is in two states`);
      }
      job.placed.set(i, {
        machine,
        attempt,
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
  if (job.doneCount !== facts.done) throw new RecordError(`d says ${facts.done} done`);
  job.version = 1;
  job.committed = 1;
  job.shown = { aborted: job.aborted, done: job.doneCount, running: job.placed.size };
  return job;
}

export function encodeFinal(f: Final): z.infer<typeof Done> {
  return { f: FORMAT, s: f.status, n: f.entries, d: f.done, [TEAM_FIELD]: f.desk, why: f.cause };
}

export function decodeFinal(data: unknown): Final {
  const parsed = Done.safeParse(data);
  if (!parsed.success) throw new RecordError('unreadable final record');
  const r = parsed.data;
  return { status: r.s, entries: r.n, done: r.d, desk: r[TEAM_FIELD], cause: r.why };
}

/** The size as the state service counts it. */
export const sizeOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** A live record as the state service holds it. */
export type LiveRecord = Live | CompactRecord;

/** What one more open task can add to a record at worst: its own range, and a waiting one beside. */
export const BYTES_PER_OPEN_TASK = 40;
const MACHINE_BYTES = 24;
/** In a compact record: a run of its own, with a distance, a difference of attempts and of machines. */
const COMPACT_BYTES_PER_OPEN_TASK = 9;
/** The share of a value that is planned with, and what a record takes beside description and tasks. */
const USED_SHARE = 0.95;
const ENVELOPE_BYTES = 160;

/**
 * How many tasks of a job may be open below its highest placed one, so that its record fits
 * however they end. Placing lowest indexes first keeps everything above in a single range.
 */
export function openTaskLimit(spec: JobSpec, valueBytes: number): number {
  const room = valueBytes * USED_SHARE - sizeOf(encodeJobSpec(spec)) - ENVELOPE_BYTES;
  return Math.max(0, Math.floor(room / (BYTES_PER_OPEN_TASK + MACHINE_BYTES / 2)));
}

/** The same for a compact record, where a task's machine is a number unless its name is not one. */
export function compactOpenTaskLimit(
  spec: JobSpec,
  valueBytes: number,
  longestOtherName: number,
): number {
  const perTask = COMPACT_BYTES_PER_OPEN_TASK + longestOtherName;
  const room = valueBytes * USED_SHARE - compactSpecSize(spec) - ENVELOPE_BYTES;
  return Math.max(0, Math.floor(room / perTask));
}

const compactSpecSize = (spec: JobSpec): number => sizeOf([null, ...encodeJobSpecValues(spec)]);
