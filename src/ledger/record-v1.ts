/**
 * Format 1 of a live record, which production reads and writes. Its field names are single letters, since they are
 * stored in every record.
 */
import * as z from 'zod';
import { Attempt, MachineId, WallMs } from '../units/index.js';
import { SubmissionMessage, decodeJobSpec, encodeJobSpec } from '../wire/index.js';
import { RecordError, type LiveRecordContents, type PlacedRun } from './live-record-contents.js';

/** The format number, which final records have too. */
export const FORMAT_V1 = 1;

const count = z.number().int().nonnegative();

/** A run of placed tasks: `from`, `to` (excluded), the attempt and the position of the machine in `m`. */
const StoredRun = z.tuple([count, count, count, count]);
type StoredRun = z.infer<typeof StoredRun>;

const RecordV1 = z.object({
  /** The format number. */
  f: z.literal(FORMAT_V1),
  /** The specification as the user submitted it. */
  s: SubmissionMessage,
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
  /** Waiting tasks, as half-open ranges. */
  w: z.array(z.tuple([count, count])),
  /** The machines that `p` refers to. */
  m: z.array(z.string()),
  /** Placed tasks. */
  p: z.array(StoredRun),
  /** The epoch of the leader that wrote the record; 0 if another controller wrote it. */
  e: count,
  /** The version of the job. */
  v: count,
});

/** A record in format 1 as it is stored. */
export type RecordV1 = z.infer<typeof RecordV1>;

/** Encodes a record in format 1. */
export function encodeRecordV1(record: LiveRecordContents): RecordV1 {
  const { machines, runs } = indexMachines(record.placements);
  return {
    f: FORMAT_V1,
    s: encodeJobSpec(record.spec),
    t: record.submittedAt,
    ...(record.isCancelled ? { x: true } : {}),
    ...(record.boundZone === undefined ? {} : { z: record.boundZone }),
    n: record.nextAttempt,
    d: record.doneCount,
    w: record.waitingTasks.map(([from, to]) => [from, to]),
    m: machines,
    p: runs,
    e: record.writeId.epoch,
    v: record.writeId.version,
  };
}

/** Lists each machine name once, in the order of the runs, and refers to machines by their position in that list. */
function indexMachines(placements: readonly PlacedRun[]): {
  machines: string[];
  runs: StoredRun[];
} {
  const machines: string[] = [];
  const positions = new Map<MachineId, number>();
  const runs = placements.map(({ from, to, attempt, machine }): StoredRun => {
    let position = positions.get(machine);
    if (position === undefined) {
      position = machines.push(machine) - 1;
      positions.set(machine, position);
    }
    return [from, to, attempt, position];
  });
  return { machines, runs };
}

/** Decodes a record in format 1; throws `ZodError` or `RecordError` if the data are invalid. */
export function decodeRecordV1(data: unknown): LiveRecordContents {
  const stored = RecordV1.parse(data);
  return {
    spec: decodeJobSpec(stored.s),
    submittedAt: WallMs(stored.t),
    isCancelled: stored.x ?? false,
    boundZone: stored.z,
    nextAttempt: Attempt(stored.n),
    doneCount: stored.d,
    waitingTasks: stored.w,
    placements: stored.p.map(([from, to, attempt, position]) => {
      const machine = stored.m[position];
      if (machine === undefined)
        throw new RecordError('p: a run refers to a machine that is not in m');
      return { from, to, attempt: Attempt(attempt), machine: MachineId(machine) };
    }),
    writeId: { epoch: stored.e, version: stored.v },
  };
}
