/**
 * Format 2 of a live record: the same facts as format 1 in about a fifth of the room, for a state service
 * with small values. Task states are runs of variable-length base64 numbers, each as a difference from the
 * one before; the job's description is a list of values without their names.
 */
import { decode, encode } from 'vlq';
import * as z from 'zod';
import { decodeJobSpecValues, encodeJobSpecValues } from '../wire/index.js';
import { Attempt, MachineId, type Epoch, type JobId } from '../units/index.js';
import type { Job } from './job.js';
import { RecordError, type JobRecord, type PlacedRun } from './record.js';

export const COMPACT_FORMAT = 2;

const count = z.number().int().nonnegative();

const CompactRecord = z.object({
  f: z.literal(COMPACT_FORMAT),
  /** The job's description without its id. */
  s: z.array(z.unknown()),
  /** When it was submitted. */
  t: z.number(),
  /** Whether it is cancelled. */
  x: z.boolean().optional(),
  /** The zone that it is bound to. */
  z: z.string().optional(),
  /** The next attempt. */
  n: count,
  /** How many tasks are done. */
  d: count,
  /** What the names of machines begin with, and how many digits follow. */
  k: z.string(),
  g: count,
  /** Names of machines that are not of this form. */
  m: z.array(z.string()).optional(),
  /** Waiting tasks: for each run its distance from the one before and its length. */
  w: z.string(),
  /** Placed tasks, see `encodeRuns`. */
  p: z.string(),
  e: count,
  v: count,
});
export type CompactRecord = z.infer<typeof CompactRecord>;

const NUMBERED_NAME = /^(.*?)(\d{1,9})$/;

/** Machine names as numbers: those that are numbered alike by their number, others by their place in a list. */
class MachineNumbers {
  private prefix = '';
  private digits = 0;
  private readonly others: string[] = [];

  constructor(prefix = '', digits = 0, others: readonly string[] = []) {
    this.prefix = prefix;
    this.digits = digits;
    this.others = [...others];
  }

  static for(names: Iterable<string>): MachineNumbers {
    for (const name of names) {
      const match = NUMBERED_NAME.exec(name);
      if (match?.[2] !== undefined) return new MachineNumbers(match[1], match[2].length);
    }
    return new MachineNumbers();
  }

  numberOf(name: string): number {
    const number = Number(name.slice(this.prefix.length));
    if (this.digits > 0 && name.startsWith(this.prefix) && this.nameOf(number) === name) {
      return number;
    }
    let position = this.others.indexOf(name);
    if (position < 0) position = this.others.push(name) - 1;
    return -1 - position;
  }

  nameOf(number: number): string | undefined {
    if (number < 0) return this.others[-1 - number];
    return this.prefix + String(number).padStart(this.digits, '0');
  }

  fields(): Pick<CompactRecord, 'k' | 'g' | 'm'> {
    const names = this.others.length > 0 ? { m: this.others } : {};
    return { k: this.prefix, g: this.digits, ...names };
  }
}

const HAS_GAP = 1;
const HAS_ATTEMPT = 2;
const FLAG_BITS = 4;

/**
 * A run is its length with two flags, then what the flags announce (its distance from the end of the run
 * before, the difference of its attempt), then the difference of its machine's number.
 */
function encodeRuns(runs: readonly PlacedRun[], machines: MachineNumbers): string {
  const numbers: number[] = [];
  let end = 0;
  let attempt = 0;
  let machine = 0;
  for (const run of runs) {
    const gap = run.from - end;
    const rise = run.attempt - attempt;
    const number = machines.numberOf(run.machine);
    const flags = (gap === 0 ? 0 : HAS_GAP) + (rise === 0 ? 0 : HAS_ATTEMPT);
    numbers.push((run.to - run.from) * FLAG_BITS + flags);
    if (gap !== 0) numbers.push(gap);
    if (rise !== 0) numbers.push(rise);
    numbers.push(number - machine);
    end = run.to;
    attempt = run.attempt;
    machine = number;
  }
  return encode(numbers);
}

function decodeRuns(text: string, machines: MachineNumbers): PlacedRun[] {
  const numbers = decode(text).values();
  const next = (): number => {
    const item = numbers.next();
    if (item.done) throw new RecordError('p ends within a run');
    return item.value;
  };
  const runs: PlacedRun[] = [];
  let end = 0;
  let attempt = 0;
  let machine = 0;
  for (const head of numbers) {
    const flags = head % FLAG_BITS;
    const from = end + (flags & HAS_GAP ? next() : 0);
    attempt += flags & HAS_ATTEMPT ? next() : 0;
    machine += next();
    const name = machines.nameOf(machine);
    if (name === undefined) throw new RecordError('p names no machine');
    end = from + Math.floor(head / FLAG_BITS);
    runs.push({ from, to: end, attempt: Attempt(attempt), machine: MachineId(name) });
  }
  return runs;
}

function encodeRanges(ranges: readonly (readonly [number, number])[]): string {
  let end = 0;
  const numbers: number[] = [];
  for (const [from, to] of ranges) {
    numbers.push(from - end, to - from);
    end = to;
  }
  return encode(numbers);
}

function decodeRanges(text: string): [number, number][] {
  const numbers = decode(text);
  const ranges: [number, number][] = [];
  let end = 0;
  for (let i = 0; i + 1 < numbers.length; i += 2) {
    const from = end + (numbers[i] ?? 0);
    end = from + (numbers[i + 1] ?? 0);
    ranges.push([from, end]);
  }
  return ranges;
}

export function encodeCompact(job: Job, runs: readonly PlacedRun[], epoch: Epoch): CompactRecord {
  const machines = MachineNumbers.for(runs.map((run) => run.machine));
  const placed = encodeRuns(runs, machines);
  return {
    f: COMPACT_FORMAT,
    s: encodeJobSpecValues(job.spec),
    t: job.submittedAt,
    ...(job.cancelled ? { x: true } : {}),
    ...(job.boundZone === undefined ? {} : { z: job.boundZone }),
    n: job.nextAttempt,
    d: job.doneCount,
    ...machines.fields(),
    w: encodeRanges(job.waiting.list()),
    p: placed,
    e: epoch,
    v: job.version,
  };
}

export function decodeCompact(id: JobId, data: unknown): JobRecord {
  const record = CompactRecord.parse(data);
  return {
    spec: decodeJobSpecValues(id, record.s),
    submittedAt: record.t,
    cancelled: record.x ?? false,
    boundZone: record.z,
    nextAttempt: record.n,
    doneCount: record.d,
    waiting: decodeRanges(record.w),
    placements: decodeRuns(record.p, new MachineNumbers(record.k, record.g, record.m)),
  };
}
