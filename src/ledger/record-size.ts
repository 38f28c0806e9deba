/** Estimates record sizes as the state store counts them, and how many open tasks fit into a value. */
import { encodeJobSpec, encodeJobSpecValues, type JobSpec } from '../wire/index.js';

/** The size of a value in bytes as the state store counts it: that of its JSON text. */
export const encodedSize = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** The most that another open task can add to a record of format 1: a range of its own and a waiting one next to it. */
const BYTES_PER_OPEN_TASK = 40;
const BYTES_PER_MACHINE_NAME = 24;
/** In a compact record: a run of its own, with a gap and the differences of attempt and machine number. */
const COMPACT_BYTES_PER_OPEN_TASK = 9;
/** The share of the value size limit that a record is planned to use. */
const USABLE_VALUE_SHARE = 0.95;
/** The size of all fields other than the specification and the tasks. */
const RECORD_OVERHEAD_BYTES = 160;

/** How many bytes remain for tasks in a value of `valueBytes` with a specification of `specBytes`. */
const bytesLeftForTasks = (valueBytes: number, specBytes: number): number =>
  valueBytes * USABLE_VALUE_SHARE - specBytes - RECORD_OVERHEAD_BYTES;

/**
 * How many tasks of a job may be open below its highest placed task, so that its record in format 1 fits into a value
 * in whatever order they end. Tasks with the lowest indexes are placed first, so that all above are in one range.
 */
export function maxOpenTasksInV1(spec: JobSpec, valueBytes: number): number {
  const available = bytesLeftForTasks(valueBytes, encodedSize(encodeJobSpec(spec)));
  // A machine name is stored once for all tasks on that machine: one name is planned for every two tasks.
  return Math.max(0, Math.floor(available / (BYTES_PER_OPEN_TASK + BYTES_PER_MACHINE_NAME / 2)));
}

/**
 * The same for a compact record, which stores a machine as a number unless its name does not end in one;
 * `maxUnnumberedNameLength` is the length of the longest such name.
 */
export function maxOpenTasksInCompact(
  spec: JobSpec,
  valueBytes: number,
  maxUnnumberedNameLength: number,
): number {
  const available = bytesLeftForTasks(
    valueBytes,
    encodedSize([null, ...encodeJobSpecValues(spec)]),
  );
  return Math.max(
    0,
    Math.floor(available / (COMPACT_BYTES_PER_OPEN_TASK + maxUnnumberedNameLength)),
  );
}
