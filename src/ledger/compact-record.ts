/**
 * Format 2 of a live record: the same facts as format 1 in about a fifth of the space, for a state service
 * with small values. Task states are text (`compact-runs.ts`); the specification is a list of values without
 * their names.
 */
import * as z from 'zod';
import { Attempt, WallMs, type JobId } from '../units/index.js';
import { decodeJobSpecValues, encodeJobSpecValues } from '../wire/index.js';
import {
  MachineNumbering,
  decodeRanges,
  decodeRuns,
  encodeRanges,
  encodeRuns,
} from './compact-task-states.js';
import type { JobRecord } from './record.js';

const COMPACT_FORMAT = 2;

const count = z.number().int().nonnegative();

const CompactRecord = z.object({
  /** The format. */
  f: z.literal(COMPACT_FORMAT),
  /** The values of the specification, without the job's id. */
  s: z.array(z.unknown()),
  /** When it was submitted, in milliseconds since 1970. */
  t: z.number(),
  /** Whether it is cancelled; absent if it is not. */
  x: z.boolean().optional(),
  /** The zone that it is bound to. */
  z: z.string().optional(),
  /** The next attempt. */
  n: count,
  /** How many tasks are done. */
  d: count,
  /** What numbered names of machines begin with. */
  k: z.string(),
  /** How many digits follow in them. */
  g: count,
  /** Names of machines that are not of this form; absent if there are none. */
  m: z.array(z.string()).optional(),
  /** Waiting tasks, see `encodeRanges`. */
  w: z.string(),
  /** Placed tasks, see `encodeRuns`. */
  p: z.string(),
  /** The epoch of the leader that wrote it; 0 if another node did. */
  e: count,
  /** The job's version. */
  v: count,
});

/** A record of format 2 as it is stored. */
export type CompactRecord = z.infer<typeof CompactRecord>;

const CompactFormat = z.object({ f: z.literal(COMPACT_FORMAT) });

/** Whether a record is in this format, which versions before this one can't read. */
export const isCompact = (data: unknown): boolean => CompactFormat.safeParse(data).success;

/** The record in format 2. */
export function encodeCompactRecord(record: JobRecord): CompactRecord {
  const machines = MachineNumbering.forNames(record.placements.map((run) => run.machine));
  // Before the names that are not of the pattern are read: it collects them.
  const placed = encodeRuns(record.placements, machines);
  const { pattern, namesOutsidePattern } = machines;
  return {
    f: COMPACT_FORMAT,
    s: encodeJobSpecValues(record.spec),
    t: record.submittedAt,
    ...(record.isCancelled ? { x: true } : {}),
    ...(record.boundZone === undefined ? {} : { z: record.boundZone }),
    n: record.nextAttempt,
    d: record.doneCount,
    k: pattern.prefix,
    g: pattern.digits,
    ...(namesOutsidePattern.length > 0 ? { m: [...namesOutsidePattern] } : {}),
    w: encodeRanges(record.waitingTasks),
    p: placed,
    e: record.writeId.epoch,
    v: record.writeId.version,
  };
}

/** Reads a record of format 2; throws `ZodError` or `RecordError` if it is none. */
export function decodeCompactRecord(id: JobId, data: unknown): JobRecord {
  const stored = CompactRecord.parse(data);
  const machines = new MachineNumbering({ prefix: stored.k, digits: stored.g }, stored.m);
  return {
    spec: decodeJobSpecValues(id, stored.s),
    submittedAt: WallMs(stored.t),
    isCancelled: stored.x ?? false,
    boundZone: stored.z,
    nextAttempt: Attempt(stored.n),
    doneCount: stored.d,
    waitingTasks: decodeRanges(stored.w),
    placements: decodeRuns(stored.p, machines),
    writeId: { epoch: stored.e, version: stored.v },
  };
}
