/**
 * Format 2 of a live record: the same contents as format 1 in about a fifth of the space, for a state store with a low
 * size limit for values. Task states are encoded as text (`compact-task-states.ts`); the specification is a list of
 * values without field names.
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
import type { LiveRecordContents } from './live-record-contents.js';

const COMPACT_FORMAT = 2;

const count = z.number().int().nonnegative();

const CompactRecord = z.object({
  /** The format number. */
  f: z.literal(COMPACT_FORMAT),
  /** The values of the specification without the job's id. */
  s: z.array(z.unknown()),
  /** When the job was submitted, in milliseconds since 1970. */
  t: z.number(),
  /** Whether the job is cancelled; absent if it is not. */
  x: z.boolean().optional(),
  /** The zone that the job is bound to. */
  z: z.string().optional(),
  /** The next attempt number. */
  n: count,
  /** How many tasks are done. */
  d: count,
  /** The prefix of the naming pattern of machines, which is a prefix and a number. */
  k: z.string(),
  /** The minimum number of digits after the prefix; 0 if no name follows the pattern. */
  g: count,
  /** Machine names that do not follow the pattern; absent if there are none. */
  m: z.array(z.string()).optional(),
  /** Waiting tasks, see `encodeRanges`. */
  w: z.string(),
  /** Placed tasks, see `encodeRuns`. */
  p: z.string(),
  /** The epoch of the leader that wrote the record; 0 if another controller wrote it. */
  e: count,
  /** The version of the job. */
  v: count,
});

/** A record in format 2 as it is stored. */
export type CompactRecord = z.infer<typeof CompactRecord>;

const CompactFormat = z.object({ f: z.literal(COMPACT_FORMAT) });

/** Whether a record is in format 2, which earlier versions of this service can't read. */
export const isCompact = (data: unknown): boolean => CompactFormat.safeParse(data).success;

/** Encodes a record in format 2. */
export function encodeCompactRecord(record: LiveRecordContents): CompactRecord {
  const machines = MachineNumbering.forNames(record.placements.map((run) => run.machine));
  // Must run before `namesOutsidePattern` is read, since it collects those names.
  const encodedRuns = encodeRuns(record.placements, machines);
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
    p: encodedRuns,
    e: record.writeId.epoch,
    v: record.writeId.version,
  };
}

/** Decodes a record in format 2; throws `ZodError` or `RecordError` if the data are invalid. */
export function decodeCompactRecord(id: JobId, data: unknown): LiveRecordContents {
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
