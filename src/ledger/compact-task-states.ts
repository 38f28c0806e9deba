/**
 * Encodes task states in compact records: ranges and runs as variable-length base64 numbers (VLQ). Most numbers are
 * differences from the preceding range or run, which are small.
 */
import { decode, encode } from 'vlq';
import { Attempt, MachineId } from '../units/index.js';
import type { IndexRange } from './index-ranges.js';
import { RecordError, type PlacedRun } from './live-record-contents.js';

const NUMBERED_NAME = /^(.*?)(\d{1,9})$/;

/** The naming pattern of the machines in one record: a prefix and a number. */
export interface MachineNamePattern {
  /** The prefix of the names. */
  readonly prefix: string;
  /** The minimum number of digits after the prefix; 0 if no name ends in a number. */
  readonly digits: number;
}

/**
 * Maps machine names to numbers: a name that follows the pattern to its own number, any other name to its position in
 * a list, counted down from -1.
 */
export class MachineNumbering {
  /** Names that do not follow the pattern, in the order in which they were first seen. */
  private readonly listedNames: string[];

  constructor(
    readonly pattern: MachineNamePattern,
    namesOutsidePattern: readonly string[] = [],
  ) {
    this.listedNames = [...namesOutsidePattern];
  }

  /** Creates a numbering with the pattern of the first name that ends in a number. */
  static forNames(names: Iterable<string>): MachineNumbering {
    for (const name of names) {
      const match = NUMBERED_NAME.exec(name);
      if (match?.[2] !== undefined) {
        return new MachineNumbering({ prefix: match[1] ?? '', digits: match[2].length });
      }
    }
    return new MachineNumbering({ prefix: '', digits: 0 });
  }

  /** The names passed to `numberOf` or the constructor that do not follow the pattern. */
  get namesOutsidePattern(): readonly string[] {
    return this.listedNames;
  }

  numberOf(name: string): number {
    const { prefix, digits } = this.pattern;
    const number = Number(name.slice(prefix.length));
    if (digits > 0 && name.startsWith(prefix) && this.nameOf(number) === name) return number;
    let position = this.listedNames.indexOf(name);
    if (position < 0) position = this.listedNames.push(name) - 1;
    return -1 - position;
  }

  /** The machine name with this number; undefined if there is none. */
  nameOf(number: number): string | undefined {
    if (number < 0) return this.listedNames[-1 - number];
    return this.pattern.prefix + String(number).padStart(this.pattern.digits, '0');
  }
}

const HAS_GAP = 1;
const HAS_ATTEMPT_CHANGE = 2;
/** The factor by which the length of a run is multiplied to make room for the flags. */
const FLAG_COMBINATIONS = 4;

/**
 * Encodes each run as its length with two flags, then the values that the flags announce (the gap after the previous
 * run, the difference of the attempt number), then the difference of the machine number.
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
    const flags = (gap === 0 ? 0 : HAS_GAP) + (attemptChange === 0 ? 0 : HAS_ATTEMPT_CHANGE);
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

/** Decodes the output of `encodeRuns`; throws `RecordError` if it is truncated or refers to an unknown machine. */
export function decodeRuns(text: string, machines: MachineNumbering): PlacedRun[] {
  const numbers = decode(text).values();
  const next = (): number => {
    const result = numbers.next();
    if (result.done) throw new RecordError('p: the text ends within a run');
    return result.value;
  };
  const runs: PlacedRun[] = [];
  let end = 0;
  let attempt = 0;
  let machine = 0;
  for (const lengthAndFlags of numbers) {
    const flags = lengthAndFlags % FLAG_COMBINATIONS;
    const from = end + (flags & HAS_GAP ? next() : 0);
    attempt += flags & HAS_ATTEMPT_CHANGE ? next() : 0;
    machine += next();
    const name = machines.nameOf(machine);
    if (name === undefined) throw new RecordError('p: a run refers to an unknown machine number');
    end = from + Math.floor(lengthAndFlags / FLAG_COMBINATIONS);
    runs.push({ from, to: end, attempt: Attempt(attempt), machine: MachineId(name) });
  }
  return runs;
}

/** Encodes each range as its gap after the previous range, then its length. */
export function encodeRanges(ranges: readonly IndexRange[]): string {
  let end = 0;
  const numbers: number[] = [];
  for (const [from, to] of ranges) {
    numbers.push(from - end, to - from);
    end = to;
  }
  return encode(numbers);
}

/** Decodes the output of `encodeRanges`. */
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
