/**
 * Task states in compact records: ranges and runs as variable-length base64 numbers, each as a difference from
 * the one before, since neighbours differ little.
 */
import { decode, encode } from 'vlq';
import { Attempt, MachineId } from '../units/index.js';
import type { IndexRange } from './index-ranges.js';
import { RecordError, type PlacedRun } from './record.js';

const NUMBERED_NAME = /^(.*?)(\d{1,9})$/;

/** What the names of the machines of one record have in common. */
export interface MachineNamePattern {
  /** What numbered names begin with. */
  readonly prefix: string;
  /** How many digits follow at least; 0 if no name is numbered. */
  readonly digits: number;
}

/** Names of machines as numbers: those of the pattern by their number, others by their place in a list, from -1 down. */
export class MachineNumbering {
  /** Names that are not of the pattern, in the order in which they were first seen. */
  private readonly unnumberedNames: string[];

  constructor(
    readonly pattern: MachineNamePattern,
    others: readonly string[] = [],
  ) {
    this.unnumberedNames = [...others];
  }

  /** With the pattern of the first name that ends in a number. */
  static forNames(names: Iterable<string>): MachineNumbering {
    for (const name of names) {
      const match = NUMBERED_NAME.exec(name);
      if (match?.[2] !== undefined) {
        return new MachineNumbering({ prefix: match[1] ?? '', digits: match[2].length });
      }
    }
    return new MachineNumbering({ prefix: '', digits: 0 });
  }

  /** Names that were numbered and are not of the pattern. */
  get namesOutsidePattern(): readonly string[] {
    return this.unnumberedNames;
  }

  numberOf(name: string): number {
    const { prefix, digits } = this.pattern;
    const number = Number(name.slice(prefix.length));
    if (digits > 0 && name.startsWith(prefix) && this.nameOf(number) === name) return number;
    let position = this.unnumberedNames.indexOf(name);
    if (position < 0) position = this.unnumberedNames.push(name) - 1;
    return -1 - position;
  }

  /** Undefined if no name has this number. */
  nameOf(number: number): string | undefined {
    if (number < 0) return this.unnumberedNames[-1 - number];
    return this.pattern.prefix + String(number).padStart(this.pattern.digits, '0');
  }
}

const HAS_GAP = 1;
const HAS_ATTEMPT = 2;
const FLAG_COMBINATIONS = 4;

/**
 * A run is its length with two flags, then what the flags announce (its distance from the end of the run
 * before, the difference of its attempt), then the difference of its machine's number.
 */
export function encodeRuns(runs: readonly PlacedRun[], machines: MachineNumbering): string {
  const numbers: number[] = [];
  let end = 0;
  let attempt = 0;
  let machine = 0;
  for (const run of runs) {
    const gap = run.from - end;
    const attemptChange = run.attempt - attempt;
    const number = machines.numberOf(run.machine);
    const flags = (gap === 0 ? 0 : HAS_GAP) + (attemptChange === 0 ? 0 : HAS_ATTEMPT);
    numbers.push((run.to - run.from) * FLAG_COMBINATIONS + flags);
    if (gap !== 0) numbers.push(gap);
    if (attemptChange !== 0) numbers.push(attemptChange);
    numbers.push(number - machine);
    end = run.to;
    attempt = run.attempt;
    machine = number;
  }
  return encode(numbers);
}

/** Reads what `encodeRuns` wrote; throws `RecordError` if it ends too early or names an unknown machine. */
export function decodeRuns(text: string, machines: MachineNumbering): PlacedRun[] {
  const numbers = decode(text).values();
  const next = (): number => {
    const item = numbers.next();
    if (item.done) throw new RecordError('p: ends within a run');
    return item.value;
  };
  const runs: PlacedRun[] = [];
  let end = 0;
  let attempt = 0;
  let machine = 0;
  for (const lengthAndFlags of numbers) {
    const flags = lengthAndFlags % FLAG_COMBINATIONS;
    const from = end + (flags & HAS_GAP ? next() : 0);
    attempt += flags & HAS_ATTEMPT ? next() : 0;
    machine += next();
    const name = machines.nameOf(machine);
    if (name === undefined) throw new RecordError('p: no machine has this number');
    end = from + Math.floor(lengthAndFlags / FLAG_COMBINATIONS);
    runs.push({ from, to: end, attempt: Attempt(attempt), machine: MachineId(name) });
  }
  return runs;
}

/** A range is its distance from the end of the one before, then its length. */
export function encodeRanges(ranges: readonly IndexRange[]): string {
  let end = 0;
  const numbers: number[] = [];
  for (const [from, to] of ranges) {
    numbers.push(from - end, to - from);
    end = to;
  }
  return encode(numbers);
}

/** Reads what `encodeRanges` wrote. */
export function decodeRanges(text: string): IndexRange[] {
  const numbers = decode(text);
  const ranges: IndexRange[] = [];
  let end = 0;
  for (let i = 0; i + 1 < numbers.length; i += 2) {
    const from = end + (numbers[i] ?? 0);
    end = from + (numbers[i + 1] ?? 0);
    ranges.push([from, end]);
  }
  return ranges;
}
