/** How large records get: sizes as the state service counts them, and how many open tasks fit a value. */
import { encodeJobSpec, encodeJobSpecValues, type JobSpec } from '../wire/index.js';

/** The bytes of a value as the state service counts them: those of its JSON text. */
export const encodedSize = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** What one more open task can add to a record of format 1 at worst: its own range, and a waiting one beside it. */
const BYTES_PER_OPEN_TASK = 40;
const BYTES_PER_MACHINE_NAME = 24;
/** In a compact record: a run of its own, with a distance, a difference of attempts and of machines. */
const COMPACT_BYTES_PER_OPEN_TASK = 9;
/** The share of a value that is planned with. */
const USABLE_VALUE_SHARE = 0.95;
/** What a record takes beside specification and tasks. */
const RECORD_OVERHEAD_BYTES = 160;

/** The bytes that are left for tasks in a value of `valueBytes` with a specification of `specBytes`. */
const bytesLeftForTasks = (valueBytes: number, specBytes: number): number =>
  valueBytes * USABLE_VALUE_SHARE - specBytes - RECORD_OVERHEAD_BYTES;

/**
 * How many tasks of a job may be open below its highest placed one, so that its record of format 1 fits a value
 * however they end. Placing lowest indexes first keeps everything above in a single range.
 */
export function maxOpenTasksInV1(spec: JobSpec, valueBytes: number): number {
  const available = bytesLeftForTasks(valueBytes, encodedSize(encodeJobSpec(spec)));
  // A machine's name is stored once for all its tasks: one is planned for every two of them.
  return Math.max(0, Math.floor(available / (BYTES_PER_OPEN_TASK + BYTES_PER_MACHINE_NAME / 2)));
}

/**
 * The same for a compact record, where a machine is a number unless its name is not numbered; `longestOtherName`
 * is the length of the longest such name.
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
