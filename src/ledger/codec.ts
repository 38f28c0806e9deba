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
import { Job, type FinalState } from './job.js';
import { IndexRanges } from './index-ranges.js';
import { RecordError, placedRuns, type JobRecord } from './record.js';

/**
 * Records in the state service. `live/<id>` holds the job and what its tasks do, as ranges:
 * `w` waiting, `p` placed ([from, to, attempt, position in `m`]); the rest is done. `d` says how
 * many those are, so that a lost range can never pass for finished work.
 */
export const FORMAT = 1;
export const liveKey = (id: JobId): string => `live/${id}`;
export const finalKey = (id: JobId): string => `done/${id}`;
export const LIVE_PREFIX = 'live/';
/** Its revision is the epoch of the leader that it names. */
export const LEADER_KEY = 'leader';

const count = z.number().int().nonnegative();

const LiveRecordV1 = z.object({
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
type LiveRecordV1 = z.infer<typeof LiveRecordV1>;

const FinalRecord = z.object({
  f: z.literal(FORMAT),
  s: z.enum([JobStatus.done, JobStatus.cancelled]),
  n: count,
  d: count,
  [TEAM_FIELD]: z.string(),
  why: z.string(),
});

export function encodeJob(job: Job, epoch: Epoch): LiveRecordV1 {
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
    t: job.submittedAt,
    ...(job.cancelled ? { x: true } : {}),
    ...(job.boundZone === undefined ? {} : { z: job.boundZone }),
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
export interface WriterMark {
  readonly epoch: number;
  readonly version: number;
}

export function writerMarkOf(data: unknown): WriterMark | undefined {
  const parsed = z.object({ e: count, v: count }).safeParse(data);
  return parsed.success ? { epoch: parsed.data.e, version: parsed.data.v } : undefined;
}

/** Whether a record is in the format that versions before this one can't read. */
export const isCompact = (data: unknown): boolean =>
  z.object({ f: z.literal(COMPACT_FORMAT) }).safeParse(data).success;

function decodeFacts(id: JobId, data: unknown): JobRecord {
  if (isCompact(data)) return decodeCompact(id, data);
  const r = LiveRecordV1.parse(data);
  return {
    spec: decodeJobSpec(r.s),
    submittedAt: r.t,
    cancelled: r.x ?? false,
    boundZone: r.z,
    nextAttempt: r.n,
    doneCount: r.d,
    waiting: r.w,
    placements: r.p.map(([from, to, attempt, m]) => {
      const machine = r.m[m];
      if (machine === undefined) throw new RecordError('p names no machine');
      return { from, to, attempt: Attempt(attempt), machine: MachineId(machine) };
    }),
  };
}

export function decodeJob(id: JobId, data: unknown, revision: Revision, now: SteadyMs): Job {
  try {
    return toJob(id, decodeFacts(id, data), revision, now);
  } catch (e) {
    const issue = e instanceof z.ZodError ? e.issues[0] : undefined;
    const why = issue ? `${issue.path.join('.')}: ${issue.message}` : (e as Error).message;
    throw new RecordError(`record of ${id}: ${why}`);
  }
}

function toJob(id: JobId, facts: JobRecord, revision: Revision, now: SteadyMs): Job {
  const job = new Job(
    id,
    facts.spec,
    WallMs(facts.submittedAt),
    revision,
    IndexRanges.of(facts.waiting),
  );
  job.cancelled = facts.cancelled;
  job.boundZone = facts.boundZone;
  job.nextAttempt = Attempt(facts.nextAttempt);
  for (const { from, to, attempt, machine } of facts.placements) {
    for (let i = from; i < to; i++) {
      if (job.waiting.has(i) || job.placements.has(i)) {
        throw new RecordError(`task ${i} is in two states`);
      }
      job.placements.set(i, {
        machine,
        attempt,
        version: 0,
        inherited: true,
        placedAt: now,
        isReported: false,
        startPushed: false,
        stopPushed: false,
      });
    }
  }
  if (job.placements.size > 0) job.lastPlacedAt = now;
  // A range that went missing would read as finished work.
  if (job.doneCount !== facts.doneCount) throw new RecordError(`d says ${facts.doneCount} done`);
  job.version = 1;
  job.committedVersion = 1;
  job.committedProgress = {
    cancelled: job.cancelled,
    done: job.doneCount,
    running: job.placements.size,
  };
  return job;
}

export function encodeFinal(f: FinalState): z.infer<typeof FinalRecord> {
  return { f: FORMAT, s: f.status, n: f.taskCount, d: f.done, [TEAM_FIELD]: f.team, why: f.reason };
}

export function decodeFinal(data: unknown): FinalState {
  const parsed = FinalRecord.safeParse(data);
  if (!parsed.success) throw new RecordError('unreadable final record');
  const r = parsed.data;
  return { status: r.s, taskCount: r.n, done: r.d, team: r[TEAM_FIELD], reason: r.why };
}

/** The size as the state service counts it. */
export const encodedSize = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** A live record as the state service holds it. */
export type LiveRecord = LiveRecordV1 | CompactRecord;

/** What one more open task can add to a record at worst: its own range, and a waiting one beside. */
export const BYTES_PER_OPEN_TASK = 40;
const MACHINE_BYTES = 24;
/** In a compact record: a run of its own, with a distance, a difference of attempts and of machines. */
const COMPACT_BYTES_PER_OPEN_TASK = 9;
/** The share of a value that is planned with, and what a record takes beside description and tasks. */
const PLANNED_SHARE = 0.95;
const ENVELOPE_BYTES = 160;

/**
 * How many tasks of a job may be open below its highest placed one, so that its record fits
 * however they end. Placing lowest indexes first keeps everything above in a single range.
 */
export function openTaskLimit(spec: JobSpec, valueBytes: number): number {
  const room = valueBytes * PLANNED_SHARE - encodedSize(encodeJobSpec(spec)) - ENVELOPE_BYTES;
  return Math.max(0, Math.floor(room / (BYTES_PER_OPEN_TASK + MACHINE_BYTES / 2)));
}

/** The same for a compact record, where a task's machine is a number unless its name is not one. */
export function compactOpenTaskLimit(
  spec: JobSpec,
  valueBytes: number,
  longestOtherName: number,
): number {
  const perTask = COMPACT_BYTES_PER_OPEN_TASK + longestOtherName;
  const room = valueBytes * PLANNED_SHARE - compactSpecSize(spec) - ENVELOPE_BYTES;
  return Math.max(0, Math.floor(room / perTask));
}

const compactSpecSize = (spec: JobSpec): number =>
  encodedSize([null, ...encodeJobSpecValues(spec)]);
